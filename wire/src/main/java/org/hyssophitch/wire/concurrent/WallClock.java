package org.hyssophitch.wire.concurrent;

import java.time.Instant;
import java.util.concurrent.TimeUnit;

/**
 * Clock of the shells: microseconds since the epoch that never run backwards within a process. Stateless after start.
 */
public final class WallClock {

    private static final long START_NANOS = System.nanoTime();
    private static final long START_MICROS = epochMicros(Instant.now());

    private WallClock() {}

    /** Returns the current time in microseconds since the epoch. */
    public static long nowMicros() {
        return START_MICROS + TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - START_NANOS);
    }

    private static long epochMicros(Instant t) {
        return TimeUnit.SECONDS.toMicros(t.getEpochSecond()) + TimeUnit.NANOSECONDS.toMicros(t.getNano());
    }
}
