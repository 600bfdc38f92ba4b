package org.hyssophitch.core.retry;

/**
 * Budget that earns a fraction of a token per call, so that extra attempts stay a fixed share of the load. Not
 * thread-safe; owned by the call engine.
 */
public final class RatioBudget {

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

    /** Earns the share of one call. */
    public void earn() {
        tokens = Math.min(capacity, tokens + ratio);
    }

    /** Takes one token when there is one, and returns whether it did. */
    public boolean trySpend() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
