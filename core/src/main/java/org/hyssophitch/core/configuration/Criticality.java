package org.hyssophitch.core.configuration;

/** Importance of a service when an entry host runs short of capacity. */
public enum Criticality {
    /** Calls that people wait for: status checks, callouts, bookings. */
    CRITICAL,
    /** Calls that can wait but have to be complete: archive pulls, certificate history. */
    BULK
}
