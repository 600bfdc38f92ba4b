package org.hyssophitch.core.entry;

import org.hyssophitch.core.call.CallRequest;

/**
 * Timetable of the planned stop of an entry host, and the rule by which the host still takes requests. Immutable. All
 * times are in microseconds.
 *
 * <p>The host takes a request only if its answer is due before the final answers, however long its server works. The
 * requests of the first part of the grace period are the exception, because most callers still have the host's address.
 */
public final class StopPlan {

    /** Fraction of the grace period in which the host takes any request; the rest is left for their servers' work. */
    private static final double OPEN_FRACTION = 0.45;
    /** Upper bound in milliseconds on that part, by which most callers have learned of the stop. */
    private static final long MAX_OPEN_MILLIS = 2_500;
    /** Fraction of the grace period during which the host listens. */
    private static final double LISTEN_FRACTION = 0.55;
    /** Fraction of the grace period after which unfinished requests get a final answer; in its last sixth. */
    private static final double FINAL_ANSWERS_FRACTION = 0.9;
    /** Fraction of the grace period after which the process exits whatever is left. */
    private static final double EXIT_FRACTION = 0.95;

    private static final long MICROS_PER_MILLI = 1_000;

    private final long startMicros;
    private final long gracePeriodMicros;

    /**
     * Creates a plan.
     *
     * @param startMicros time at which the stop began
     * @param gracePeriodMillis time in milliseconds from then until the process is killed
     */
    public StopPlan(long startMicros, long gracePeriodMillis) {
        this.startMicros = startMicros;
        this.gracePeriodMicros = gracePeriodMillis * MICROS_PER_MILLI;
    }

    public long startMicros() {
        return startMicros;
    }

    /** Returns whether the host takes a call that is ready now. */
    public boolean takes(CallRequest call, long nowMicros) {
        long openMicros = Math.min((long) (gracePeriodMicros * OPEN_FRACTION), MAX_OPEN_MILLIS * MICROS_PER_MILLI);
        return nowMicros < startMicros + openMicros || call.deadlineMicros() <= finalAnswersMicros();
    }

    /** Returns when the host stops listening and closes idle connections. */
    public long listenUntilMicros() {
        return at(LISTEN_FRACTION);
    }

    /** Returns when each request that is still unfinished gets a final answer. */
    public long finalAnswersMicros() {
        return at(FINAL_ANSWERS_FRACTION);
    }

    /** Returns when the process exits even if answers haven't left. */
    public long exitMicros() {
        return at(EXIT_FRACTION);
    }

    private long at(double fraction) {
        return startMicros + (long) (gracePeriodMicros * fraction);
    }
}
