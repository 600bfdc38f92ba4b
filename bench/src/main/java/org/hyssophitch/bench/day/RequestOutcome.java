package org.hyssophitch.bench.day;

import org.hyssophitch.bench.day.DayPlan.RequestKind;

/**
 * Final outcome of a caller's request over all its retries. Immutable.
 *
 * @param kind kind of the request
 * @param startMicros time at which the caller first sent it
 * @param elapsedMicros time from the first send to the end
 * @param isAnswered whether the caller received a complete response
 */
record RequestOutcome(RequestKind kind, long startMicros, long elapsedMicros, boolean isAnswered) {

    private static final long MICROS_PER_MILLI = 1_000;

    /** Returns the credit for the request: full within the target latency, reduced later, none without a response. */
    double credit() {
        if (!isAnswered) {
            return 0;
        }
        boolean isInTarget = elapsedMicros <= kind.route().targetLatencyMillis() * MICROS_PER_MILLI;
        return isInTarget ? kind.worth() : kind.lateWorth();
    }
}
