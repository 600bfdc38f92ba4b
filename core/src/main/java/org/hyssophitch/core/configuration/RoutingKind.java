package org.hyssophitch.core.configuration;

/** Routing policies that an operator can select for a service. The order is part of the wire format. */
public enum RoutingKind {
    UNIFORM,
    ROUND_ROBIN,
    LEAST_IN_FLIGHT,
    POWER_OF_TWO,
    POWER_OF_D,
    ESTIMATED_DELAY,
    ASKED_LOAD
}
