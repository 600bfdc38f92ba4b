package org.hyssophitch.core.team;

import java.util.OptionalInt;

/** Combines the priority of a team and that of a route into one number, which orders calls. Stateless. */
public final class PriorityOrder {

    /** Route priorities of one team priority; higher numbers count as the lowest of them. */
    private static final int ROUTE_SPAN = 1_000;
    /** Team priority of calls without one: after all others. */
    private static final int LAST = 1_000_000;

    private PriorityOrder() {}

    /**
     * Returns the priority of a call in a configuration with teams; 0 is the highest.
     *
     * @param team priority of the team; empty for anonymous callers and teams without a priority
     * @param route priority of the route
     */
    public static int combine(OptionalInt team, int route) {
        return Math.clamp(team.orElse(LAST), 0, LAST) * ROUTE_SPAN + Math.clamp(route, 0, ROUTE_SPAN - 1);
    }
}
