package org.hyssophitch.entry.soak;

import java.util.List;

/**
 * What a soak does; it follows from the seed.
 *
 * @param durationMillis time for which callers send requests
 * @param disruptions in order of time
 */
record SoakPlan(
        long seed, int hosts, int servers, int callers, Site site, long durationMillis, List<Timed> disruptions) {

    /** Timeout, deadline and longest usual work of the safe requests, as on two sites of the users. */
    enum Site {
        SHORT(3_000, 6_000, 675),
        LONG(4_000, 8_000, 725);

        private final long timeoutMillis;
        private final long deadlineMillis;
        private final int maxWorkMillis;

        Site(long timeoutMillis, long deadlineMillis, int maxWorkMillis) {
            this.timeoutMillis = timeoutMillis;
            this.deadlineMillis = deadlineMillis;
            this.maxWorkMillis = maxWorkMillis;
        }

        long timeoutMillis() {
            return timeoutMillis;
        }

        long deadlineMillis() {
            return deadlineMillis;
        }

        int maxWorkMillis() {
            return maxWorkMillis;
        }

        /** Returns the routes that callers use, and a number of further ones. */
        List<Route> routes() {
            return List.of(
                    new Route("trace", "safe", timeoutMillis, 2),
                    new Route("book", "unsafe", timeoutMillis, 2),
                    new Route("upload", "upload", timeoutMillis + 2_000, 2));
        }
    }

    /** A disruption and its time since the first requests. */
    record Timed(long millis, Disruption disruption) {}
}
