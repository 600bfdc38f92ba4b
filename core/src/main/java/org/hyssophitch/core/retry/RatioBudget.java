package org.hyssophitch.core.retry;

/**
 * Token-bucket budget that is credited a fraction of a token per call, which limits extra attempts to a fixed ratio of
 * the calls. Not thread-safe; confined to the call engine.
 */
public final class RatioBudget implements AttemptBudget {

    private final double ratio;
    private final double capacity;
    private double tokens;

    /**
     * Creates a budget that starts full, or empty if the ratio is 0.
     *
     * @param ratio tokens credited per call
     * @param capacity maximum number of tokens, which bounds a burst of extra attempts
     */
    public RatioBudget(double ratio, double capacity) {
        this.ratio = ratio;
        this.capacity = capacity;
        this.tokens = ratio > 0 ? capacity : 0;
    }

    @Override
    public void deposit(long nowMicros) {
        tokens = Math.min(capacity, tokens + ratio);
    }

    @Override
    public boolean tryWithdraw(long nowMicros) {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
