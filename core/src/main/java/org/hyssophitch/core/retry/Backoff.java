package org.hyssophitch.core.retry;

import java.util.random.RandomGenerator;

/**
 * Delay between repetitions of a failing call: grows exponentially, with full jitter, so that many hosts don't
 * return at once. Not thread-safe.
 */
public final class Backoff {

    private static final int MAX_DOUBLINGS = 16;

    private final long baseMillis;
    private final long maxMillis;
    private final RandomGenerator random;
    private int failures;

    /**
     * Creates a delay.
     *
     * @param baseMillis bound of the first delay in milliseconds
     * @param maxMillis bound of every delay in milliseconds
     * @param random seeded source of randomness
     */
    public Backoff(long baseMillis, long maxMillis, RandomGenerator random) {
        this.baseMillis = baseMillis;
        this.maxMillis = maxMillis;
        this.random = random;
    }

    /** Notes a failure and returns the delay in milliseconds before the next call. */
    public long nextMillis() {
        long bound = Math.min(maxMillis, baseMillis << Math.min(failures, MAX_DOUBLINGS));
        failures++;
        return 1 + random.nextLong(bound);
    }

    /** Notes a success: the next failure starts from the first delay. */
    public void reset() {
        failures = 0;
    }
}
