package org.hyssophitch.bench.day;

import org.hyssophitch.bench.day.DayPlan.RequestKind;

/**
 * How a caller's request ended, all its sendings taken together. Immutable.
 *
 * @param kind kind of the request
 * @param startMicros when the caller first sent it
 * @param elapsedMicros time from then to its end
 * @param isAnswered whether the caller got the answer
 */
record RequestOutcome(RequestKind kind, long startMicros, long elapsedMicros, boolean isAnswered) {

    private static final long MICROS_PER_MILLI = 1_000;

    /** Returns what the request was worth to its caller. */
    double credit() {
        if (!isAnswered) {
            return 0;
        }
        boolean isInTarget = elapsedMicros <= kind.route().targetLatencyMillis() * MICROS_PER_MILLI;
        return isInTarget ? kind.worth() : kind.lateWorth();
    }
}
