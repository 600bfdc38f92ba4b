package org.hyssophitch.standin;

import org.hyssophitch.wire.net.HttpQuery;

/**
 * Faults of one backend server. Immutable.
 *
 * @param slowFactor factor on the time that each request takes
 * @param isFailingFast whether each request is answered at once with an error
 * @param isDraining whether new requests are refused and the server says that it is leaving
 * @param isTruncating whether answers end before their announced length
 * @param isShedding whether every request is refused as not run
 * @param falseLoad load figure that is reported in place of the true one; -1 for the true one
 * @param loadLagMillis age in milliseconds of the load figure that is reported
 * @param isHidingAge whether the age is left out
 */
public record ServerFaults(
        double slowFactor,
        boolean isFailingFast,
        boolean isDraining,
        boolean isTruncating,
        boolean isShedding,
        int falseLoad,
        long loadLagMillis,
        boolean isHidingAge) {

    /** No fault. */
    public static final ServerFaults NONE = new ServerFaults(1, false, false, false, false, -1, 0, false);

    /** Returns these faults with the ones that a query names changed. */
    public ServerFaults with(HttpQuery q) {
        return new ServerFaults(
                Double.parseDouble(q.parameter("slow", Double.toString(slowFactor))),
                flag(q, "fail-fast", isFailingFast),
                flag(q, "drain", isDraining),
                flag(q, "truncate", isTruncating),
                flag(q, "shed", isShedding),
                (int) q.parameter("false-load", falseLoad),
                q.parameter("load-lag-ms", loadLagMillis),
                flag(q, "hide-age", isHidingAge));
    }

    private static boolean flag(HttpQuery q, String name, boolean current) {
        return q.parameter(name, Boolean.toString(current)).equals("true");
    }
}
