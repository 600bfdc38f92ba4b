package org.hyssophitch.entry;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.store.KindWatcher;
import org.hyssophitch.core.store.StoreChanges.Change;
import org.hyssophitch.core.store.StoredObject;

/** Passes on each configuration that the store gives out. Not thread-safe; lives on the event loop. */
final class ConfigurationListener implements KindWatcher.Listener<Configuration> {

    private final String name;
    private final Consumer<Configuration> onConfiguration;
    private final Runnable onReturn;
    private final EventLog log;

    /**
     * Creates a listener.
     *
     * @param name name of the object that holds the configuration in force
     * @param onConfiguration takes each configuration
     * @param onReturn called when the store can be reached again
     * @param log where lost and regained reach is recorded
     */
    ConfigurationListener(String name, Consumer<Configuration> onConfiguration, Runnable onReturn, EventLog log) {
        this.name = name;
        this.onConfiguration = onConfiguration;
        this.onReturn = onReturn;
        this.log = log;
    }

    @Override
    public void onListed(Map<String, StoredObject<Configuration>> objects, boolean hadOutage) {
        take(objects.get(name));
    }

    @Override
    public void onChanged(List<Change<Configuration>> changes) {
        changes.stream()
                .filter(c -> !c.isDeleted() && c.object().name().equals(name))
                .reduce((earlier, later) -> later)
                .ifPresent(c -> take(c.object()));
    }

    @Override
    public void onReachabilityChanged(boolean isReachable, String detail) {
        log.reachable(isReachable, detail);
        if (isReachable) {
            onReturn.run();
        }
    }

    private void take(StoredObject<Configuration> object) {
        if (object != null) {
            object.value().ifPresent(onConfiguration);
        }
    }
}
