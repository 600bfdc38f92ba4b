package org.hyssophitch.core.timeline;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Bounded ring of the latest events of one process. Thread-safe; a full ring overwrites its oldest event.
 */
public final class EventRing {

    private final TimelineEvent[] events;
    private long next;

    /**
     * Creates a ring.
     *
     * @param capacity number of events kept
     */
    public EventRing(int capacity) {
        events = new TimelineEvent[capacity];
    }

    /** Adds an event. */
    public synchronized void add(TimelineEvent event) {
        events[(int) (next % events.length)] = event;
        next++;
    }

    /** Returns the sequence number that the next event will get. */
    public synchronized long nextSequence() {
        return next;
    }

    /**
     * Returns the kept events from a sequence number on, oldest first.
     *
     * @param sequence first sequence number of interest
     * @param filter events to return
     */
    public synchronized List<TimelineEvent> since(long sequence, Predicate<TimelineEvent> filter) {
        List<TimelineEvent> found = new ArrayList<>();
        for (long s = Math.max(sequence, next - events.length); s < next; s++) {
            TimelineEvent e = events[(int) (s % events.length)];
            if (filter.test(e)) {
                found.add(e);
            }
        }
        return found;
    }
}
