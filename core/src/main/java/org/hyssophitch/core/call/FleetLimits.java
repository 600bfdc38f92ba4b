package org.hyssophitch.core.call;

/**
 * Limits that all entry hosts keep together; each host takes its part by the number of hosts. Immutable.
 *
 * @param extraAttemptRatio attempts beyond the first per call of a service
 * @param extraAttemptAllowance attempts beyond the first per window and service, whatever the load
 * @param extraAttemptWindowMicros length in microseconds of the window in which attempts are counted
 * @param loadProbesPerSecond questions for its load that one backend server may get per second
 * @param minHosts smallest number of entry hosts to assume, so that a host that sees no other one stays within its
 *     part
 */
public record FleetLimits(
        double extraAttemptRatio,
        double extraAttemptAllowance,
        long extraAttemptWindowMicros,
        double loadProbesPerSecond,
        int minHosts) {

    /** Part of each limit that is used, so that hosts which count differently stay below the whole. */
    private static final double SAFETY_FACTOR = 0.85;

    /** Part of the questions to a server that hosts of its own zone have. */
    private static final double SAME_ZONE_SHARE = 0.75;
    /** Smallest number of entry hosts to assume in a zone. */
    private static final int MIN_SAME_ZONE_HOSTS = 3;

    /** Limits of a deployment whose operator names none. */
    public static final FleetLimits DEFAULT = new FleetLimits(0.2, 20, 10_000_000, 60, 13);

    /** Returns one host's allowance of further attempts. */
    public double extraAttemptAllowanceShare(int hosts) {
        return extraAttemptAllowance * SAFETY_FACTOR / Math.max(minHosts, hosts);
    }

    /** Returns the ratio that each host keeps. */
    public double extraAttemptRatioShare() {
        return extraAttemptRatio * SAFETY_FACTOR;
    }

    /**
     * Returns one host's questions per second and backend server. Hosts of the server's zone, which ask it first, have
     * most of them between themselves.
     *
     * @param hosts entry hosts
     * @param nearHosts entry hosts in the server's availability zone
     * @param isNear whether this host is one of them
     */
    public double loadProbesPerSecondShare(int hosts, int nearHosts, boolean isNear) {
        int all = Math.max(minHosts, hosts);
        double safe = loadProbesPerSecond * SAFETY_FACTOR;
        if (nearHosts == 0) {
            return safe / all;
        }
        int near = Math.max(Math.min(MIN_SAME_ZONE_HOSTS, minHosts), nearHosts);
        return isNear ? safe * SAME_ZONE_SHARE / near : safe * (1 - SAME_ZONE_SHARE) / Math.max(1, all - near);
    }
}
