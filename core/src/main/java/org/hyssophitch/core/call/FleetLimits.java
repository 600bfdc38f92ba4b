package org.hyssophitch.core.call;

/**
 * Limits that all entry hosts keep together; each host takes its part by the number of hosts. Immutable.
 *
 * @param repeatRatio attempts beyond the first per call of a service
 * @param repeatAllowance attempts beyond the first per window and service, whatever the load
 * @param repeatWindowMicros length in microseconds of the window in which attempts are counted
 * @param asksPerSecond questions for its load that one backend server may get per second
 * @param leastHosts smallest number of entry hosts to assume, so that a host that sees no other one stays within its
 *     part
 */
public record FleetLimits(
        double repeatRatio, double repeatAllowance, long repeatWindowMicros, double asksPerSecond, int leastHosts) {

    /** Part of each limit that is used, so that hosts which count differently stay below the whole. */
    private static final double SAFE_PART = 0.85;

    /** Part of the questions to a server that hosts of its own zone have. */
    private static final double NEAR_PART = 0.75;
    /** Smallest number of entry hosts to assume in a zone. */
    private static final int LEAST_NEAR_HOSTS = 3;

    /** Limits of a deployment whose operator names none. */
    public static final FleetLimits DEFAULT = new FleetLimits(0.2, 20, 10_000_000, 60, 13);

    /** Returns one host's allowance of further attempts. */
    public double repeatAllowancePart(int hosts) {
        return repeatAllowance * SAFE_PART / Math.max(leastHosts, hosts);
    }

    /** Returns the ratio that each host keeps. */
    public double repeatRatioPart() {
        return repeatRatio * SAFE_PART;
    }

    /**
     * Returns one host's questions per second and backend server. Hosts of the server's zone, which ask it first, have
     * most of them between themselves.
     *
     * @param hosts entry hosts
     * @param nearHosts entry hosts in the server's availability zone
     * @param isNear whether this host is one of them
     */
    public double asksPerSecondPart(int hosts, int nearHosts, boolean isNear) {
        int all = Math.max(leastHosts, hosts);
        double safe = asksPerSecond * SAFE_PART;
        if (nearHosts == 0) {
            return safe / all;
        }
        int near = Math.max(Math.min(LEAST_NEAR_HOSTS, leastHosts), nearHosts);
        return isNear ? safe * NEAR_PART / near : safe * (1 - NEAR_PART) / Math.max(1, all - near);
    }
}
