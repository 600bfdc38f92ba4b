package org.hyssophitch.core.timeline;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Ring buffer of the latest events of one process. Thread-safe; a full buffer overwrites its oldest event.
 */
public final class EventRing {

    private final TimelineEvent[] events;
    private long nextSequenceNumber;

    /**
     * Creates an empty ring buffer.
     *
     * @param capacity maximum number of events kept
     */
    public EventRing(int capacity) {
        events = new TimelineEvent[capacity];
    }

    public synchronized void add(TimelineEvent event) {
        events[(int) (nextSequenceNumber % events.length)] = event;
        nextSequenceNumber++;
    }

    /** Returns the sequence number that the next event will get. */
    public synchronized long nextSequence() {
        return nextSequenceNumber;
    }

    /**
     * Returns the kept events from a sequence number on, oldest first. Events already overwritten are left out.
     *
     * @param sequence first sequence number to return
     * @param filter selects the events to return
     */
    public synchronized List<TimelineEvent> since(long sequence, Predicate<TimelineEvent> filter) {
        List<TimelineEvent> found = new ArrayList<>();
        for (long s = Math.max(sequence, nextSequenceNumber - events.length); s < nextSequenceNumber; s++) {
            TimelineEvent e = events[(int) (s % events.length)];
            if (filter.test(e)) {
                found.add(e);
            }
        }
        return found;
    }
}
