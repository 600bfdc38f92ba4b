package org.hyssophitch.core.call;

/**
 * Settings of a call engine that don't come from the configuration document. Immutable.
 *
 * @param host name of this entry host
 * @param zone availability zone of this entry host
 * @param incarnation incarnation of this process
 * @param maxBulkInFlight attempts of bulk services in flight at the same time, so that critical calls find room
 */
public record EngineSettings(String host, String zone, long incarnation, int maxBulkInFlight) {

    /** Default of {@link #maxBulkInFlight()}. */
    public static final int DEFAULT_MAX_BULK_IN_FLIGHT = 256;

    /** Creates settings with the default bound on bulk attempts. */
    public EngineSettings(String host, String zone, long incarnation) {
        this(host, zone, incarnation, DEFAULT_MAX_BULK_IN_FLIGHT);
    }
}
