package org.hyssophitch.core.statement;

import java.util.ArrayDeque;
import java.util.Deque;

/** Counts the attempts of the last moments. Not thread-safe; confined to the call engine. */
final class RecentAttempts {

    /** Length of the sliding window in microseconds. */
    static final long WINDOW_MICROS = 1_000_000;

    private final Deque<Long> startMicros = new ArrayDeque<>();

    void add(long nowMicros) {
        expire(nowMicros);
        startMicros.addLast(nowMicros);
    }

    int count(long nowMicros) {
        expire(nowMicros);
        return startMicros.size();
    }

    private void expire(long nowMicros) {
        while (!startMicros.isEmpty() && startMicros.getFirst() <= nowMicros - WINDOW_MICROS) {
            startMicros.removeFirst();
        }
    }
}
