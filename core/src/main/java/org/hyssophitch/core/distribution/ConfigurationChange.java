package org.hyssophitch.core.distribution;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.configuration.Service;

/**
 * Difference between two configurations: the new and changed services, and the names of the removed ones. Immutable.
 *
 * @param baseVersion version that the change applies to; 0 for a complete configuration
 * @param header target configuration, which provides all fields other than the services
 * @param changed services that are new or differ from those in the base version
 * @param removed names of the services that the target no longer contains
 */
public record ConfigurationChange(long baseVersion, Configuration header, List<Service> changed, List<String> removed) {

    /** Applies this change to its base. Changed services keep their positions; new services are appended. */
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
