package org.hyssophitch.core.admission;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Bounded queue of the calls of one service, ordered by priority and then by the time by which each
 * is wanted. Not thread-safe; owned by the call engine.
 */
public final class CallQueue {

    /**
     * One waiting call.
     *
     * @param callId identity of the call within the entry host
     * @param priority rank; 0 is the highest
     * @param dueMicros time by which the caller wants its answer
     */
    public record QueuedCall(long callId, int priority, long dueMicros) {}

    private final TreeSet<QueuedCall> waiting = new TreeSet<>(Comparator.comparingInt(QueuedCall::priority)
            .thenComparingLong(QueuedCall::dueMicros)
            .thenComparingLong(QueuedCall::callId));
    private final int capacity;

    /**
     * Creates an empty queue.
     *
     * @param capacity largest number of waiting calls
     */
    public CallQueue(int capacity) {
        this.capacity = capacity;
    }

    /** Returns a queue of another capacity with the same waiting calls, or this instance when nothing changes. */
    public CallQueue withCapacity(int value) {
        if (value == capacity) {
            return this;
        }
        CallQueue changed = new CallQueue(value);
        changed.waiting.addAll(waiting);
        return changed;
    }

    /** Adds a call unless the queue is full, and returns whether it did. */
    public boolean offer(QueuedCall call) {
        return waiting.size() < capacity && waiting.add(call);
    }

    /** Removes and returns the first call. */
    public Optional<QueuedCall> poll() {
        return Optional.ofNullable(waiting.pollFirst());
    }

    /** Returns whether a call is waiting. */
    public boolean contains(QueuedCall call) {
        return waiting.contains(call);
    }

    /** Removes a call, and returns whether it was waiting. */
    public boolean remove(QueuedCall call) {
        return waiting.remove(call);
    }

    /** Returns the waiting calls in their order. */
    public List<QueuedCall> waiting() {
        return List.copyOf(waiting);
    }

    public int size() {
        return waiting.size();
    }
}
