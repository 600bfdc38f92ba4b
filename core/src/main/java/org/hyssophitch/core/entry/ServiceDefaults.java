package org.hyssophitch.core.entry;

import java.util.List;

import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.configuration.QueueRule;
import org.hyssophitch.core.configuration.RetryRule;
import org.hyssophitch.core.configuration.RoutingKind;
import org.hyssophitch.core.configuration.Service;

/** Routing, queue and retry rules that the configuration in the platform's store doesn't define. Stateless. */
public final class ServiceDefaults {

    /** At most 256 queued calls per host. Stall detection is off because the route's timeout ends every call. */
    private static final QueueRule QUEUE = new QueueRule(256, 10_000, 0);

    private ServiceDefaults() {}

    /** Returns the configuration with the given routing policy and the default rules in every service. */
    public static Configuration applyTo(Configuration accepted, RoutingKind routing) {
        List<Service> services = accepted.services().stream()
                .map(s -> s.toBuilder()
                        .routing(routing)
                        .retry(RetryRule.DEFAULT)
                        .queue(QUEUE)
                        .build())
                .toList();
        return accepted.withServices(services);
    }
}
