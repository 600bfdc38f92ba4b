package org.hyssophitch.core.configuration;

/** Importance of a service when an entry host is short of capacity. The order is part of the wire format. */
public enum Criticality {
    /** Interactive calls that people wait for: status checks, callouts, bookings. */
    CRITICAL,
    /** Calls that may be delayed but must be complete: archive pulls, certificate history. */
    BULK
}
