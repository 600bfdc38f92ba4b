package org.hyssophitch.core.load;

/**
 * Token bucket that fills with time. Not thread-safe; owned by one duty.
 */
public final class TokenBucket {

    private static final double MICROS_PER_SECOND = 1_000_000.0;

    private double ratePerSecond;
    private double capacity;
    private double tokens;
    private long filledMicros;

    /**
     * Creates an empty bucket, so that a process that restarts gains nothing by it.
     *
     * @param ratePerSecond tokens gained per second
     * @param capacity largest number of tokens kept
     * @param nowMicros current time in microseconds
     */
    public TokenBucket(double ratePerSecond, double capacity, long nowMicros) {
        this.ratePerSecond = ratePerSecond;
        this.capacity = capacity;
        this.filledMicros = nowMicros;
    }

    /** Changes rate and capacity from now on; tokens above the new capacity are lost. */
    public void setRate(double newRatePerSecond, double newCapacity, long nowMicros) {
        fill(nowMicros);
        ratePerSecond = newRatePerSecond;
        capacity = newCapacity;
        tokens = Math.min(tokens, capacity);
    }

    /** Takes the given number of tokens when there are as many, and returns whether it did. */
    public boolean tryTake(double amount, long nowMicros) {
        fill(nowMicros);
        if (tokens < amount) {
            return false;
        }
        tokens -= amount;
        return true;
    }

    /** Returns the time in microseconds until the given number of tokens is there; 0 when it is there now. */
    public long microsUntil(double amount, long nowMicros) {
        fill(nowMicros);
        double missing = amount - tokens;
        if (missing <= 0) {
            return 0;
        }
        return ratePerSecond <= 0 ? Long.MAX_VALUE : (long) Math.ceil(missing / ratePerSecond * MICROS_PER_SECOND);
    }

    private void fill(long nowMicros) {
        long elapsed = Math.max(0, nowMicros - filledMicros);
        tokens = Math.min(capacity, tokens + elapsed * ratePerSecond / MICROS_PER_SECOND);
        filledMicros = Math.max(filledMicros, nowMicros);
    }
}
