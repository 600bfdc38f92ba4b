package org.hyssophitch.core.admission;

/**
 * Limit on the attempts that this entry host keeps in flight at one backend server. The limit halves when the server
 * sheds load and grows by one per round of full use without shedding. Not thread-safe; owned by the call engine.
 */
public final class AdaptiveLimit {

    private static final double DECREASE = 0.5;
    /** Time in microseconds in which several sheds count as one. */
    private static final long SHED_WINDOW_MICROS = 50_000;
    /** Time in microseconds without a shed after which the limit grows even without full use. */
    private static final long IDLE_RECOVERY_MICROS = 1_000_000;

    private final int ceiling;
    private double limit;
    private long lastShedMicros = Long.MIN_VALUE / 2;
    private long lastRecoveryMicros = Long.MIN_VALUE / 2;

    /**
     * Creates a limit that starts at its ceiling.
     *
     * @param ceiling connection share of this entry host at the server
     */
    public AdaptiveLimit(int ceiling) {
        this.ceiling = ceiling;
        this.limit = ceiling;
    }

    /** Returns the number of attempts allowed in flight; at least one. */
    public int current() {
        return Math.max(1, (int) limit);
    }

    /** Notes that the server shed an attempt. */
    public void onShed(int inFlight, long nowMicros) {
        if (nowMicros - lastShedMicros >= SHED_WINDOW_MICROS) {
            limit = Math.max(1, Math.min(limit, inFlight) * DECREASE);
            lastShedMicros = nowMicros;
        }
    }

    /** Notes that the server took and answered an attempt. */
    public void onAnswer(int inFlight, long nowMicros) {
        boolean isFull = inFlight >= current();
        boolean isQuiet = nowMicros - Math.max(lastShedMicros, lastRecoveryMicros) >= IDLE_RECOVERY_MICROS;
        if (isFull) {
            limit = Math.min(ceiling, limit + 1.0 / Math.max(1, limit));
        } else if (isQuiet) {
            limit = Math.min(ceiling, limit + 1);
            lastRecoveryMicros = nowMicros;
        }
    }
}
