package org.hyssophitch.core.call;

import org.hyssophitch.core.statement.SharedLimit;

/**
 * How far the requests to a cold server may exceed its rate in each second, over all entry hosts. Immutable.
 *
 * @param overage factor by which they may exceed it
 * @param slack requests by which they may exceed it in addition
 */
public record ColdBound(double overage, double slack) {

    /** Bound of an operator who allows no excess. */
    public static final ColdBound EXACT = new ColdBound(1, 0);

    /** Returns the limit of a cold server that takes a number of requests per second. */
    SharedLimit limit(double perSecond) {
        return SharedLimit.ofCold(perSecond, overage, slack);
    }
}
