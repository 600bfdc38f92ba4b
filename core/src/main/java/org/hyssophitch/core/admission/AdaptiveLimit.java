package org.hyssophitch.core.admission;

/**
 * Adaptive in-flight limit of this entry host at one backend server. Not thread-safe; confined to the call engine.
 *
 * <p>The limit follows additive increase, multiplicative decrease: it halves when the server sheds an attempt and grows
 * by about one for each limit's worth of answers that arrive while the limit is fully used.
 */
public final class AdaptiveLimit {

    private static final double DECREASE_FACTOR = 0.5;
    /** Sheds within this time of the last decrease don't decrease the limit again. */
    private static final long SHED_WINDOW_MICROS = 50_000;
    /** Interval at which the limit grows by one while it isn't fully used and the server sheds nothing. */
    private static final long RECOVERY_INTERVAL_MICROS = 1_000_000;

    private final int maxLimit;
    private double limit;
    private long lastDecreaseMicros = Long.MIN_VALUE / 2;
    private long lastRecoveryMicros = Long.MIN_VALUE / 2;

    /**
     * Creates a limit that starts at its maximum.
     *
     * @param maxLimit upper bound: this entry host's share of the server's connections
     */
    public AdaptiveLimit(int maxLimit) {
        this.maxLimit = maxLimit;
        this.limit = maxLimit;
    }

    /** Returns the number of attempts allowed in flight, at least one. */
    public int current() {
        return Math.max(1, (int) limit);
    }

    /**
     * Records that the server shed an attempt.
     *
     * @param inFlight attempts of this entry host in flight at the server
     * @param nowMicros current time in microseconds
     */
    public void onShed(int inFlight, long nowMicros) {
        if (nowMicros - lastDecreaseMicros >= SHED_WINDOW_MICROS) {
            limit = Math.max(1, Math.min(limit, inFlight) * DECREASE_FACTOR);
            lastDecreaseMicros = nowMicros;
        }
    }

    /**
     * Records that the server answered an attempt without an error.
     *
     * @param inFlight attempts of this entry host in flight at the server
     * @param nowMicros current time in microseconds
     */
    public void onAnswer(int inFlight, long nowMicros) {
        boolean isFull = inFlight >= current();
        boolean isRecoveryDue =
                nowMicros - Math.max(lastDecreaseMicros, lastRecoveryMicros) >= RECOVERY_INTERVAL_MICROS;
        if (isFull) {
            limit = Math.min(maxLimit, limit + 1.0 / Math.max(1, limit));
        } else if (isRecoveryDue) {
            limit = Math.min(maxLimit, limit + 1);
            lastRecoveryMicros = nowMicros;
        }
    }
}
