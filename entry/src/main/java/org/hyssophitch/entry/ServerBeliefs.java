package org.hyssophitch.entry;

import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.hyssophitch.core.call.CallEvent;
import org.hyssophitch.core.configuration.RegisteredServer;
import org.hyssophitch.core.entry.ServerRegistry;
import org.hyssophitch.core.store.KindWatcher;
import org.hyssophitch.core.store.ObjectKind;
import org.hyssophitch.core.store.ObjectStore;
import org.hyssophitch.core.store.StoreChanges.Change;
import org.hyssophitch.core.store.StoredObject;
import org.hyssophitch.core.store.Timers;
import org.hyssophitch.http.CallDispatcher;

/** Keeps the engine's backend servers as the store tells them. Not thread-safe; lives on the event loop. */
final class ServerBeliefs implements KindWatcher.Listener<RegisteredServer> {

    private final ServerRegistry registry = new ServerRegistry();
    private final KindWatcher<RegisteredServer> follower;
    private final Timers timers;
    private final CallDispatcher carrier;
    private final Runnable onReturn;
    private final EventLog log;
    private volatile boolean isListed;

    ServerBeliefs(
            ObjectStore store,
            ObjectKind<RegisteredServer> kind,
            Timers timers,
            RandomGenerator random,
            CallDispatcher carrier,
            Runnable onReturn,
            EventLog log) {
        this.timers = timers;
        this.carrier = carrier;
        this.onReturn = onReturn;
        this.log = log;
        this.follower = new KindWatcher<>(store, kind, timers, random, this);
    }

    void start() {
        follower.start();
    }

    /** Notes that the store can be reached again, as some call has shown. */
    void onStoreReturned() {
        registry.onStoreRecovered(timers.nowMicros());
        follower.relist();
    }

    /** Returns whether the servers were listed since the process started. */
    boolean isListed() {
        return isListed;
    }

    @Override
    public void onListed(Map<String, StoredObject<RegisteredServer>> objects, boolean hadOutage) {
        isListed = true;
        registry.onListed(objects, timers.nowMicros());
        publish();
    }

    @Override
    public void onChanged(List<Change<RegisteredServer>> changes) {
        registry.onChanged(changes, timers.nowMicros());
        publish();
    }

    @Override
    public void onReachabilityChanged(boolean isReachable, String detail) {
        log.reachable(isReachable, detail);
        if (isReachable) {
            onReturn.run();
        }
    }

    private void publish() {
        carrier.handle(new CallEvent.ServersRegistered(timers.nowMicros(), registry.byService()));
        long next = registry.nextExpiryMicros();
        if (next != Long.MAX_VALUE) {
            timers.after(Math.max(1, next - timers.nowMicros()), this::expire);
        }
    }

    private void expire() {
        if (registry.expire(timers.nowMicros())) {
            publish();
        }
    }
}
