package org.hyssophitch.core.call;

/**
 * Fleet-wide limits on retries, hedges and load probes; each entry host gets a share that depends on the number of
 * hosts. Immutable.
 *
 * @param extraAttemptRatio retries and hedges per call of a service
 * @param extraAttemptAllowance additional retries and hedges per window and service, regardless of load
 * @param extraAttemptWindowMicros length in microseconds of the sliding window in which attempts are counted
 * @param loadProbesPerSecond load probes that one backend server may get per second
 * @param minHosts smallest number of entry hosts to assume, so that a host that sees no other host stays within its
 *     share
 */
public record FleetLimits(
        double extraAttemptRatio,
        double extraAttemptAllowance,
        long extraAttemptWindowMicros,
        double loadProbesPerSecond,
        int minHosts) {

    /** Fraction of each limit that is used, so that hosts with different views of the fleet stay below it in total. */
    private static final double SAFETY_FACTOR = 0.85;

    /** Fraction of the load probes to a server that belongs to the entry hosts of its zone. */
    private static final double SAME_ZONE_SHARE = 0.75;
    /** Smallest number of entry hosts to assume in the zone of a server. */
    private static final int MIN_SAME_ZONE_HOSTS = 3;

    /** Limits used when the operator configures none. */
    public static final FleetLimits DEFAULT = new FleetLimits(0.2, 20, 10_000_000, 60, 13);

    /**
     * Returns one host's share of the extra-attempt allowance. A host that knows no other one has none: it can't tell
     * its share, and all hosts may be in this state at once.
     */
    public double extraAttemptAllowanceShare(int hosts) {
        if (hosts <= 1 && minHosts > 1) {
            return 0;
        }
        return extraAttemptAllowance * SAFETY_FACTOR / Math.max(minHosts, hosts);
    }

    /** Returns the ratio of extra attempts to calls that each host applies to its own calls. */
    public double extraAttemptRatioShare() {
        return extraAttemptRatio * SAFETY_FACTOR;
    }

    /**
     * Returns one host's load probes per second to one backend server. The hosts of the server's zone probe it first,
     * so they share most of them.
     *
     * @param hosts number of entry hosts
     * @param sameZoneHosts number of entry hosts in the server's availability zone
     * @param isSameZone whether this host is one of them
     * @param fraction fraction of the servers in the server's zone that each host uses
     */
    public double loadProbesPerSecondShare(int hosts, int sameZoneHosts, boolean isSameZone, double fraction) {
        int assumedHosts = Math.max(minHosts, hosts);
        double usable = loadProbesPerSecond * SAFETY_FACTOR;
        if (sameZoneHosts == 0) {
            return usable / users(assumedHosts, fraction);
        }
        int assumedSameZoneHosts = Math.max(Math.min(MIN_SAME_ZONE_HOSTS, minHosts), sameZoneHosts);
        int otherHosts = Math.max(1, assumedHosts - assumedSameZoneHosts);
        return isSameZone
                ? usable * SAME_ZONE_SHARE / users(assumedSameZoneHosts, fraction)
                : usable * (1 - SAME_ZONE_SHARE) / users(otherHosts, fraction);
    }

    /**
     * Returns a number of hosts that few servers exceed when each host uses a random fraction of the servers: two
     * standard deviations above the mean.
     */
    private static double users(int hosts, double fraction) {
        double mean = hosts * fraction;
        return Math.min(hosts, mean + 2 * Math.sqrt(mean * (1 - fraction)));
    }
}
