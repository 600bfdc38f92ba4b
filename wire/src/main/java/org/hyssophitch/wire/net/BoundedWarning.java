package org.hyssophitch.wire.net;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

import org.tinylog.Logger;

/** Counts events of one cause, and logs at most one of them a second. Thread-safe. */
final class BoundedWarning {

    private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final LongAdder count = new LongAdder();
    private final String text;
    private volatile long nextNanos = System.nanoTime();

    /**
     * Creates a counter without events.
     *
     * @param text text of the log lines
     */
    BoundedWarning(String text) {
        this.text = text;
    }

    /** Counts an event; the detail is logged if no line was written lately. */
    void add(Object detail) {
        count.increment();
        long now = System.nanoTime();
        if (now - nextNanos >= 0) {
            nextNanos = now + INTERVAL_NANOS;
            Logger.warn("{}, {} so far: {}", text, count.sum(), detail);
        }
    }

    long count() {
        return count.sum();
    }
}
