package org.hyssophitch.core.entry;

import java.util.List;

import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.configuration.QueueRule;
import org.hyssophitch.core.configuration.RetryRule;
import org.hyssophitch.core.configuration.RoutingKind;
import org.hyssophitch.core.configuration.Service;

/** Rules for choosing, waiting and repeating that the operator of the platform's store doesn't set. Stateless. */
public final class ServiceDefaults {

    /** Calls that may wait for a service at one host; a route's time-out ends every call, so no stall is assumed. */
    private static final QueueRule QUEUE = new QueueRule(256, 10_000, 0);

    private ServiceDefaults() {}

    /** Returns a configuration whose services have these rules. */
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
