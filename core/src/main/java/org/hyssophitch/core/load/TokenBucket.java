package org.hyssophitch.core.load;

/**
 * Token bucket that is refilled at a constant rate. Not thread-safe; each instance is confined to one owner.
 */
public final class TokenBucket {

    private static final double MICROS_PER_SECOND = 1_000_000.0;

    private double ratePerSecond;
    private double capacity;
    private double tokens;
    private long lastRefillMicros;

    /**
     * Creates an empty bucket. Starting empty keeps a process from gaining tokens by a restart.
     *
     * @param ratePerSecond refill rate in tokens per second
     * @param capacity maximum number of tokens
     * @param nowMicros current time in microseconds
     */
    public TokenBucket(double ratePerSecond, double capacity, long nowMicros) {
        this.ratePerSecond = ratePerSecond;
        this.capacity = capacity;
        this.lastRefillMicros = nowMicros;
    }

    /** Changes the refill rate and the capacity from now on; tokens above the new capacity are discarded. */
    public void setRate(double newRatePerSecond, double newCapacity, long nowMicros) {
        refill(nowMicros);
        ratePerSecond = newRatePerSecond;
        capacity = newCapacity;
        tokens = Math.min(tokens, capacity);
    }

    /** Takes the given number of tokens if they are available, and returns whether it did. */
    public boolean tryTake(double amount, long nowMicros) {
        refill(nowMicros);
        if (tokens < amount) {
            return false;
        }
        tokens -= amount;
        return true;
    }

    /** Takes the given number of tokens also if they aren't available; they are owed then. */
    public void withdraw(double amount, long nowMicros) {
        refill(nowMicros);
        tokens -= amount;
    }

    /** Returns the number of tokens that are available. */
    public double available(long nowMicros) {
        refill(nowMicros);
        return tokens;
    }

    /**
     * Returns the time in microseconds until the given number of tokens is available: 0 if it is now, and
     * {@link Long#MAX_VALUE} if it isn't and the refill rate is 0.
     */
    public long microsUntil(double amount, long nowMicros) {
        refill(nowMicros);
        double missing = amount - tokens;
        if (missing <= 0) {
            return 0;
        }
        return ratePerSecond <= 0 ? Long.MAX_VALUE : (long) Math.ceil(missing / ratePerSecond * MICROS_PER_SECOND);
    }

    private void refill(long nowMicros) {
        long elapsed = Math.max(0, nowMicros - lastRefillMicros);
        tokens = Math.min(capacity, tokens + elapsed * ratePerSecond / MICROS_PER_SECOND);
        lastRefillMicros = Math.max(lastRefillMicros, nowMicros);
    }
}
