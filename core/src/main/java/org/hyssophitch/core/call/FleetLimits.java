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

    /** Returns one host's questions per second and backend server. */
    public double asksPerSecondPart(int hosts) {
        return asksPerSecond * SAFE_PART / Math.max(leastHosts, hosts);
    }
}
