package org.hyssophitch.wire.concurrent;

import java.time.Instant;
import java.util.concurrent.TimeUnit;

/**
 * Clock that returns microseconds since the epoch and never goes backwards within a process: it reads the system clock
 * once and adds the elapsed monotonic time. Thread-safe; without state after class initialization.
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
