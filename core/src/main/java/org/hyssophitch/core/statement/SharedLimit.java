package org.hyssophitch.core.statement;

/**
 * A limit on the requests to one backend server from all entry hosts together. Immutable.
 *
 * @param perSecond requests per second
 * @param burst sum of the bursts of all hosts
 */
public record SharedLimit(double perSecond, double burst) {

    /** Sum of all hosts' bursts for a stated limit, in seconds of the limit. */
    private static final double STATED_BURST_SECONDS = 2;
    /** Sum of all hosts' bursts for a stated limit that doesn't depend on it. */
    private static final double STATED_FIXED_BURST = 3;

    /** Returns the limit of a server that states one, which counts requests over several seconds. */
    public static SharedLimit ofStated(double perSecond) {
        return new SharedLimit(perSecond, perSecond * STATED_BURST_SECONDS + STATED_FIXED_BURST);
    }

    /**
     * Returns the limit of a cold server, which counts the requests of each second. The hosts' rates and bursts add up
     * to at most {@code perSecond * overage + slack}. Where the slack allows no burst of one request, the rate is
     * lowered to make up for it.
     *
     * @param perSecond requests per second that the server takes
     * @param overage factor by which they may be exceeded
     * @param slack requests in one second by which they may be exceeded in addition
     */
    public static SharedLimit ofCold(double perSecond, double overage, double slack) {
        double bound = perSecond * overage + slack;
        double burst = Math.max(slack, Math.min(1, bound));
        return new SharedLimit(Math.min(perSecond, bound - burst), burst);
    }
}
