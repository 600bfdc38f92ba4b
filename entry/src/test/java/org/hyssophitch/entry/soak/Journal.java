package org.hyssophitch.entry.soak;

import java.util.Comparator;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/** The events of a run. Thread-safe. */
final class Journal {

    private final long startNanos = System.nanoTime();
    private final Queue<Event> events = new ConcurrentLinkedQueue<>();

    /** Returns the milliseconds since the start of the run. */
    long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    void add(Event event) {
        events.add(event);
    }

    List<Event> events() {
        return events.stream().sorted(Comparator.comparingLong(Event::millis)).toList();
    }
}
