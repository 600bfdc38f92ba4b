package org.hyssophitch.core.retry;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter, which keeps many hosts from retrying at the same time. Not thread-safe.
 */
public final class Backoff {

    private static final int MAX_DOUBLINGS = 16;

    private final long baseMillis;
    private final long maxMillis;
    private final RandomGenerator random;
    private int consecutiveFailures;

    /**
     * Creates a backoff.
     *
     * @param baseMillis upper bound of the first delay in milliseconds
     * @param maxMillis upper bound of every delay in milliseconds
     * @param random seeded source of randomness
     */
    public Backoff(long baseMillis, long maxMillis, RandomGenerator random) {
        this.baseMillis = baseMillis;
        this.maxMillis = maxMillis;
        this.random = random;
    }

    /** Records a failure and returns the delay in milliseconds before the next attempt, at least 1. */
    public long nextMillis() {
        long bound = Math.min(maxMillis, baseMillis << Math.min(consecutiveFailures, MAX_DOUBLINGS));
        consecutiveFailures++;
        return 1 + random.nextLong(bound);
    }

    /** Records a success, so that the next failure starts again with the first delay. */
    public void reset() {
        consecutiveFailures = 0;
    }
}
