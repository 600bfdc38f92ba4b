package org.hyssophitch.core.quota;

import org.hyssophitch.core.team.Team;

/**
 * By how much the requests of a team may exceed its quota in a window. Immutable.
 *
 * <p>Owners use half of it as an additional burst. Calls of a small team often arrive in clumps, which a bucket of one
 * second of its quota would refuse although the team stays within its quota over the window. The other half is left for
 * hosts that can't reach an owner.
 *
 * @param windowSeconds length of the window in seconds
 * @param overage fraction of the quota by which the requests may exceed it
 * @param slack requests by which they may exceed it in addition
 */
public record QuotaTolerance(double windowSeconds, double overage, double slack) {

    /** Tolerance of a deployment that grants none. */
    public static final QuotaTolerance NONE = new QuotaTolerance(0, 0, 0);

    private static final double OWNERS_FRACTION = 0.5;

    /** Returns the burst that owners grant in addition to that of the quota. */
    double extraBurst(Team team) {
        double quota = team.requestsPerSecond() * windowSeconds + team.burst();
        return OWNERS_FRACTION * (quota * overage + slack);
    }
}
