package org.hyssophitch.entry;

import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.hyssophitch.core.call.CallEvent;
import org.hyssophitch.core.configuration.RegisteredServer;
import org.hyssophitch.core.entry.ServerRegistry;
import org.hyssophitch.core.store.KindWatcher;
import org.hyssophitch.core.store.StepRunner;
import org.hyssophitch.core.store.StoreChanges.Change;
import org.hyssophitch.core.store.StoredObject;
import org.hyssophitch.core.store.Timers;
import org.hyssophitch.core.store.WatchFailure;
import org.hyssophitch.core.store.WatchPlan;
import org.hyssophitch.http.CallDispatcher;

/**
 * Watches the backend servers registered in the store and passes them to the call engine. Not thread-safe; confined to
 * the event loop, except {@link #isListed}.
 */
final class RegisteredServerWatcher implements KindWatcher.Listener<RegisteredServer> {

    /** Maximum time in microseconds between two steps of the expiry; a step without anything to do costs nothing. */
    private static final long MAX_EXPIRY_PAUSE_MICROS = 10_000_000;
    /** Name of the step in the log when the expiry of registrations fails. */
    private static final String EXPIRE_STEP = "expire";

    private final ServerRegistry registry = new ServerRegistry();
    private final String kind;
    private final KindWatcher<RegisteredServer> watcher;
    /** Each step of the expiry begins the next one. */
    private final StepRunner expiry;

    private final Timers timers;
    private final CallDispatcher dispatcher;
    private final Runnable onStoreRecovered;
    private final EventLog log;
    private volatile boolean isListed;

    RegisteredServerWatcher(
            String kind,
            Timers timers,
            WatchPlan<RegisteredServer> plan,
            RandomGenerator random,
            CallDispatcher dispatcher,
            Runnable onStoreRecovered,
            EventLog log) {
        this.kind = kind;
        this.timers = timers;
        this.dispatcher = dispatcher;
        this.onStoreRecovered = onStoreRecovered;
        this.log = log;
        this.watcher = new KindWatcher<>(kind, timers, plan, random, this);
        this.expiry = new StepRunner(timers, random, this::repeatExpiry, (step, cause) -> onExpiryFailed(cause));
    }

    void start() {
        expiry.run(this::scheduleExpiry);
        watcher.start();
    }

    /** Lists the servers again after some call has shown that the store is reachable again. */
    void relistAfterOutage() {
        registry.onStoreRecovered(timers.nowMicros());
        watcher.relist();
    }

    KindWatcher<RegisteredServer> watcher() {
        return watcher;
    }

    /** Repeats a step of the expiry that is overdue; called several times a second. */
    void checkProgress() {
        expiry.checkProgress();
    }

    /** Handles an answer of the store that showed a later epoch. */
    void onEpoch(long epoch) {
        watcher.onEpoch(epoch);
    }

    /** Handles that another entry host says that it has reached the store since a time in microseconds. */
    void onStoreReachedSince(long sinceMicros) {
        long before = registry.nextExpiryMicros();
        registry.onStoreReachedSince(sinceMicros, timers.nowMicros());
        if (registry.nextExpiryMicros() < before) {
            expiry.run(this::expireRegistrations);
        }
    }

    /** Returns whether the servers have been listed since the process started. */
    boolean isListed() {
        return isListed;
    }

    @Override
    public void onListed(Map<String, StoredObject<RegisteredServer>> objects, boolean hadOutage) {
        isListed = true;
        registry.onListed(objects, timers.nowMicros());
        if (registry.awaitsProof()) {
            timers.after(ServerRegistry.RENEWAL_PERIOD_MICROS, watcher::listAgain);
        }
        publishServers();
    }

    @Override
    public void onRestored() {
        log.recordStoreRestored();
        registry.onStoreRestored(timers.nowMicros());
    }

    @Override
    public void onChanged(List<Change<RegisteredServer>> changes) {
        registry.onChanged(changes, timers.nowMicros());
        publishServers();
    }

    @Override
    public void onReachabilityChanged(boolean isReachable, String detail) {
        log.recordStoreReachability(isReachable, detail);
        if (isReachable) {
            onStoreRecovered.run();
        }
    }

    @Override
    public void onWatchFailed(WatchFailure failure) {
        log.recordWatchFailure(failure);
    }

    private void publishServers() {
        dispatcher.handle(new CallEvent.ServersRegistered(timers.nowMicros(), registry.byService()));
        scheduleExpiry();
    }

    private void scheduleExpiry() {
        long now = timers.nowMicros();
        long pause = Math.min(registry.nextExpiryMicros() - now, MAX_EXPIRY_PAUSE_MICROS);
        expiry.pause(Math.max(1, pause), this::expireRegistrations);
    }

    private void expireRegistrations() {
        if (registry.expire(timers.nowMicros())) {
            publishServers();
        } else {
            scheduleExpiry();
        }
        expiry.onHandled();
    }

    /** Expires registrations after a failure. What was removed before it may not have reached the call engine. */
    private void repeatExpiry() {
        registry.expire(timers.nowMicros());
        publishServers();
        expiry.onHandled();
    }

    private void onExpiryFailed(String cause) {
        log.recordWatchFailure(new WatchFailure(kind, EXPIRE_STEP, cause, watcher.silentMicros()));
    }
}
