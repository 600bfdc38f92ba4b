package org.hyssophitch.core.spread;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.configuration.Service;

/**
 * Difference between two configurations: the services that changed or are new, and the names of those that are gone.
 * Immutable.
 *
 * @param baseVersion version that the change builds on; 0 when it holds everything
 * @param header configuration whose fields, services aside, come into force
 * @param changed services that are new or differ from the base
 * @param removed names of the services that are gone since the base
 */
public record ConfigurationChange(long baseVersion, Configuration header, List<Service> changed, List<String> removed) {

    /** Applies this change to its base; changed services keep their places, new ones come last. */
    Configuration applyTo(Configuration base) {
        Map<String, Service> byName = new LinkedHashMap<>();
        if (baseVersion != 0) {
            base.services().forEach(s -> byName.put(s.name(), s));
        }
        changed.forEach(s -> byName.put(s.name(), s));
        removed.forEach(byName::remove);
        return header.withServices(List.copyOf(byName.values()));
    }
}
