package org.hyssophitch.core.admission;

import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * Times at which the callers of rejected calls of one service should return: one after the other at the rate at which
 * places become free, more urgent calls before others. Not thread-safe; confined to the call engine.
 */
public final class ReturnSchedule {

    /** Longest delay of a return. */
    public static final long MAX_DELAY_MICROS = 3_000_000;

    /** Part of the longest delay over which the returns beyond it are spread. */
    private static final double SPREAD = 1.0 / 3;
    /** Time in microseconds of the next return by priority. */
    private final NavigableMap<Integer, Long> nextReturns = new TreeMap<>();

    /**
     * Returns the delay in microseconds after which a rejected caller should return.
     *
     * @param priority priority of the call; 0 is the highest
     * @param expectedWaitMicros expected wait of the call for its place in the order
     * @param rate places that become free per microsecond
     * @param random seeded source of randomness
     */
    public long delayMicros(
            int priority, long expectedWaitMicros, double rate, long nowMicros, RandomGenerator random) {
        nextReturns.values().removeIf(at -> at <= nowMicros);
        double interval = Math.min(MAX_DELAY_MICROS, 1 / rate);
        long earliest = nowMicros + Math.min(MAX_DELAY_MICROS, expectedWaitMicros);
        for (long next : nextReturns.headMap(priority, true).values()) {
            earliest = Math.max(earliest, next);
        }
        long at = earliest + (long) (interval * random.nextDouble());
        if (at - nowMicros > MAX_DELAY_MICROS) {
            return MAX_DELAY_MICROS - (long) (MAX_DELAY_MICROS * SPREAD * random.nextDouble());
        }
        nextReturns.put(priority, earliest + (long) interval);
        return at - nowMicros;
    }
}
