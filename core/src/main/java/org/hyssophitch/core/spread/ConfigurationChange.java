package org.hyssophitch.core.spread;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.configuration.Service;

/**
 * Difference between two configurations: the services that changed and the names of all that remain. Immutable.
 *
 * @param baseVersion version that the change builds on; 0 when it holds everything
 * @param header configuration whose fields, services aside, come into force
 * @param changed services that are new or differ from the base
 * @param order names of all services, in order
 */
public record ConfigurationChange(long baseVersion, Configuration header, List<Service> changed, List<String> order) {

    /** Applies this change to its base. */
    Configuration applyTo(Configuration base) {
        Map<String, Service> byName = Stream.concat(base.services().stream(), changed.stream())
                .collect(Collectors.toMap(Service::name, Function.identity(), (older, newer) -> newer));
        return header.withServices(
                order.stream().map(byName::get).filter(Objects::nonNull).toList());
    }
}
