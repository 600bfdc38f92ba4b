package org.hyssophitch.core.entry;

import java.util.Map;

/**
 * Settings of one entry host. Immutable.
 *
 * @param host name of the entry host
 * @param zone availability zone
 * @param region region of the zone
 * @param regions region of each zone, by zone
 * @param addresses addresses to listen on
 * @param storeAddress address of the platform's store, {@code ip:port}
 * @param bounds limits set by the operator
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
     * Addresses to listen on, each {@code ip:port}; empty for an endpoint that the host doesn't offer.
     *
     * @param front for callers' requests
     * @param readiness for the platform's readiness checks
     * @param directory for address resolution by callers
     * @param peers for datagrams from the other entry hosts
     * @param metrics for metrics
     */
    public record Addresses(String front, String readiness, String directory, String peers, String metrics) {}

    /**
     * Limits set by the operator.
     *
     * @param gracePeriodMillis time in milliseconds from the stop signal until the process is killed
     * @param extraAttemptRatio retries and hedges allowed per request, over all entry hosts
     * @param extraAttemptAllowance retries and hedges allowed per window regardless of load, over all entry hosts
     * @param extraAttemptWindowMillis length of that window in milliseconds
     * @param loadProbesPerSecond maximum rate of load probes to one backend server, over all entry hosts
     * @param maxTtlSeconds maximum time in seconds for which callers may cache an address response
     * @param zones bounds that concern availability zones and cold backend servers
     * @param quotas bounds of the teams' quotas
     */
    public record Bounds(
            int gracePeriodMillis,
            double extraAttemptRatio,
            double extraAttemptAllowance,
            int extraAttemptWindowMillis,
            double loadProbesPerSecond,
            int maxTtlSeconds,
            ZoneBounds zones,
            QuotaBounds quotas) {

        /** Creates bounds of a deployment that evacuates no zones and grants no quotas. */
        public Bounds(
                int gracePeriodMillis,
                double extraAttemptRatio,
                double extraAttemptAllowance,
                int extraAttemptWindowMillis,
                double loadProbesPerSecond,
                int maxTtlSeconds) {
            this(
                    gracePeriodMillis,
                    extraAttemptRatio,
                    extraAttemptAllowance,
                    extraAttemptWindowMillis,
                    loadProbesPerSecond,
                    maxTtlSeconds,
                    ZoneBounds.NONE,
                    QuotaBounds.NONE);
        }
    }

    /**
     * Bounds that concern availability zones and cold backend servers.
     *
     * @param evacuationMillis time in milliseconds within which an evacuated zone has to get no more requests; 0 if the
     *     deployment evacuates no zones
     * @param coldOverage factor by which the requests to a cold server may exceed its rate, over all entry hosts
     * @param coldSlack requests in one second by which they may exceed it in addition
     */
    public record ZoneBounds(int evacuationMillis, double coldOverage, double coldSlack) {

        /** Bounds of a deployment that evacuates no zones. */
        public static final ZoneBounds NONE = new ZoneBounds(0, 1, 0);
    }

    /**
     * Bounds of the teams' quotas, over all entry hosts.
     *
     * @param windowMillis length in milliseconds of the window in which the requests of a team are counted; 0 if the
     *     deployment grants no quotas
     * @param overage fraction by which they may exceed the quota
     * @param slack requests by which they may exceed it in addition
     */
    public record QuotaBounds(int windowMillis, double overage, double slack) {

        /** Bounds of a deployment that grants no quotas. */
        public static final QuotaBounds NONE = new QuotaBounds(0, 0, 0);
    }

    public EntrySettings {
        regions = Map.copyOf(regions);
    }

    /** Returns these settings with the given bounds, or this instance when nothing changes. */
    public EntrySettings withBounds(Bounds value) {
        return value.equals(bounds)
                ? this
                : new EntrySettings(host, zone, region, regions, addresses, storeAddress, value);
    }
}
