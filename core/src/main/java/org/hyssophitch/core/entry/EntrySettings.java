package org.hyssophitch.core.entry;

import java.util.Map;

/**
 * Settings of one entry host. Immutable.
 *
 * @param host name of the entry host
 * @param zone availability zone
 * @param region region of the zone
 * @param regions region of each zone
 * @param addresses addresses to listen at
 * @param storeAddress address of the platform's store, {@code ip:port}
 * @param bounds bounds that the operator sets
 */
public record EntrySettings(
        String host,
        String zone,
        String region,
        Map<String, String> regions,
        Addresses addresses,
        String storeAddress,
        Bounds bounds) {

    /**
     * Addresses to listen at, each {@code ip:port}; empty where the host doesn't offer it.
     *
     * @param front for callers' requests
     * @param readiness for the platform's checks
     * @param directory for callers that ask which address to use
     * @param peers for datagrams of the other entry hosts
     * @param metrics for metrics
     */
    public record Addresses(String front, String readiness, String directory, String peers, String metrics) {}

    /**
     * Bounds that the operator sets.
     *
     * @param gracePeriodMillis time in milliseconds from the request to stop until the process is killed
     * @param extraAttemptRatio attempts beyond the first per request, over all entry hosts
     * @param extraAttemptAllowance attempts beyond the first per window whatever the load, over all entry hosts
     * @param extraAttemptWindowMillis length of that window in milliseconds
     * @param loadProbesPerSecond questions for its load that a backend server may get per second, from all entry hosts
     * @param maxTtlSeconds longest time in seconds for which callers may keep an address answer
     */
    public record Bounds(
            int gracePeriodMillis,
            double extraAttemptRatio,
            double extraAttemptAllowance,
            int extraAttemptWindowMillis,
            double loadProbesPerSecond,
            int maxTtlSeconds) {}

    public EntrySettings {
        regions = Map.copyOf(regions);
    }

    /** Returns these settings with other bounds, or this instance when nothing changes. */
    public EntrySettings withBounds(Bounds value) {
        return value.equals(bounds)
                ? this
                : new EntrySettings(host, zone, region, regions, addresses, storeAddress, value);
    }
}
