package org.hyssophitch.core.configuration;

/** Names of the routing policies that an operator can select for a service. */
public enum RoutingKind {
    UNIFORM,
    ROUND_ROBIN,
    LEAST_IN_FLIGHT,
    POWER_OF_TWO,
    POWER_OF_D,
    ESTIMATED_DELAY,
    ASKED_LOAD
}
