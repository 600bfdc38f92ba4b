package org.hyssophitch.core.retry;

/**
 * Budget that earns a fraction of a token per call, so that extra attempts stay a fixed share of the load. Not
 * thread-safe; owned by the call engine.
 */
public final class RatioBudget implements AttemptBudget {

    private final double ratio;
    private final double capacity;
    private double tokens;

    /**
     * Creates a budget that starts full.
     *
     * @param ratio tokens earned per call
     * @param capacity largest number of tokens kept; bounds the burst after a quiet time
     */
    public RatioBudget(double ratio, double capacity) {
        this.ratio = ratio;
        this.capacity = capacity;
        this.tokens = ratio > 0 ? capacity : 0;
    }

    @Override
    public void earn(long nowMicros) {
        tokens = Math.min(capacity, tokens + ratio);
    }

    @Override
    public boolean trySpend(long nowMicros) {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
