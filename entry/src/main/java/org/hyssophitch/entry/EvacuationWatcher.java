package org.hyssophitch.entry;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.hyssophitch.core.store.KindWatcher;
import org.hyssophitch.core.store.StoreChanges.Change;
import org.hyssophitch.core.store.StoredObject;
import org.hyssophitch.core.store.Timers;
import org.hyssophitch.core.store.WatchFailure;
import org.hyssophitch.core.store.WatchPlan;

/**
 * Keeps the evacuated availability zones that the store holds, and passes them on when they change. While the store is
 * unreachable, the last known ones stay in force. An object counts by its name, whatever its content. Not thread-safe;
 * confined to the event loop.
 */
final class EvacuationWatcher implements KindWatcher.Listener<String> {

    private final Consumer<Set<String>> onZones;
    private final Runnable onStoreRecovered;
    private final EventLog log;
    private final KindWatcher<String> watcher;
    private final Set<String> zones = new TreeSet<>();
    private boolean isListed;

    /**
     * Creates a watcher that makes no calls until it is started.
     *
     * @param kind name of the kind
     * @param onZones receives all evacuated zones after each list and each change
     * @param onStoreRecovered called when the store is reachable again after an outage
     * @param log records when the store becomes unreachable or reachable
     */
    EvacuationWatcher(
            String kind,
            Timers timers,
            WatchPlan<String> plan,
            RandomGenerator random,
            Consumer<Set<String>> onZones,
            Runnable onStoreRecovered,
            EventLog log) {
        this.onZones = onZones;
        this.onStoreRecovered = onStoreRecovered;
        this.log = log;
        this.watcher = new KindWatcher<>(kind, timers, plan, random, this);
    }

    KindWatcher<String> watcher() {
        return watcher;
    }

    /** Returns whether the evacuations have been listed since the process started. */
    boolean isListed() {
        return isListed;
    }

    /** Returns the number of evacuated zones. */
    int count() {
        return zones.size();
    }

    @Override
    public void onListed(Map<String, StoredObject<String>> objects, boolean hadOutage) {
        isListed = true;
        zones.clear();
        zones.addAll(objects.keySet());
        onZones.accept(Set.copyOf(zones));
    }

    /** A copy may lack evacuations or hold ended ones; what the operator's store holds is in force all the same. */
    @Override
    public void onRestored() {
        log.recordStoreRestored();
    }

    @Override
    public void onChanged(List<Change<String>> changes) {
        changes.forEach(c -> {
            if (c.isDeleted()) {
                zones.remove(c.object().name());
            } else {
                zones.add(c.object().name());
            }
        });
        onZones.accept(Set.copyOf(zones));
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
}
