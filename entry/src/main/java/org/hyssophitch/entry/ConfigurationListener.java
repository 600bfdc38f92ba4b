package org.hyssophitch.entry;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.store.KindWatcher;
import org.hyssophitch.core.store.StoreChanges.Change;
import org.hyssophitch.core.store.StoredObject;
import org.hyssophitch.core.store.WatchFailure;

/** Forwards each configuration that the store delivers to a consumer. Not thread-safe; confined to the event loop. */
final class ConfigurationListener implements KindWatcher.Listener<Configuration> {

    private final String name;
    private final Consumer<Configuration> onConfiguration;
    private final Runnable onStoreRecovered;
    private final EventLog log;

    /**
     * Creates a listener.
     *
     * @param name name of the store object that holds the current configuration
     * @param onConfiguration receives each configuration
     * @param onStoreRecovered called when the store is reachable again after an outage
     * @param log records when the store becomes unreachable or reachable
     */
    ConfigurationListener(
            String name, Consumer<Configuration> onConfiguration, Runnable onStoreRecovered, EventLog log) {
        this.name = name;
        this.onConfiguration = onConfiguration;
        this.onStoreRecovered = onStoreRecovered;
        this.log = log;
    }

    @Override
    public void onListed(Map<String, StoredObject<Configuration>> objects, boolean hadOutage) {
        apply(objects.get(name));
    }

    /** An earlier configuration in the copy is refused like any other that is not newer. */
    @Override
    public void onRestored() {
        log.recordStoreRestored();
    }

    @Override
    public void onChanged(List<Change<Configuration>> changes) {
        changes.stream()
                .filter(c -> !c.isDeleted() && c.object().name().equals(name))
                .reduce((earlier, later) -> later)
                .ifPresent(c -> apply(c.object()));
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

    private void apply(StoredObject<Configuration> object) {
        if (object != null) {
            object.value().ifPresent(onConfiguration);
        }
    }
}
