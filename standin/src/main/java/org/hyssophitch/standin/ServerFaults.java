package org.hyssophitch.standin;

import org.hyssophitch.wire.net.HttpQuery;

/**
 * Injected faults of one fake backend server. Immutable.
 *
 * @param slowFactor factor on the service time of each request
 * @param isFailingFast whether each request fails immediately with an error
 * @param isDraining whether new requests are rejected as not run and load reports announce draining
 * @param isTruncating whether responses end before their announced length
 * @param isShedding whether every request is rejected as not run
 * @param falseLoad number of requests in flight to report in place of the actual one; -1 for the actual one
 * @param loadLagMillis age of the reported load in milliseconds
 * @param isHidingAge whether load reports omit their age
 * @param limitPerSecond rate limit that each answer states; 0 for none
 * @param retryAfterSeconds time that each rejection asks to wait; 0 for none
 */
public record ServerFaults(
        double slowFactor,
        boolean isFailingFast,
        boolean isDraining,
        boolean isTruncating,
        boolean isShedding,
        int falseLoad,
        long loadLagMillis,
        boolean isHidingAge,
        double limitPerSecond,
        double retryAfterSeconds) {

    /** No faults. */
    public static final ServerFaults NONE = new ServerFaults(1, false, false, false, false, -1, 0, false, 0, 0);

    /** Returns these faults with the changes that the query parameters specify. */
    public ServerFaults with(HttpQuery q) {
        return new ServerFaults(
                Double.parseDouble(q.parameter("slow", Double.toString(slowFactor))),
                flag(q, "fail-fast", isFailingFast),
                flag(q, "drain", isDraining),
                flag(q, "truncate", isTruncating),
                flag(q, "shed", isShedding),
                (int) q.parameter("false-load", falseLoad),
                q.parameter("load-lag-ms", loadLagMillis),
                flag(q, "hide-age", isHidingAge),
                Double.parseDouble(q.parameter("limit", Double.toString(limitPerSecond))),
                Double.parseDouble(q.parameter("retry-after", Double.toString(retryAfterSeconds))));
    }

    private static boolean flag(HttpQuery q, String name, boolean current) {
        return q.parameter(name, Boolean.toString(current)).equals("true");
    }
}
