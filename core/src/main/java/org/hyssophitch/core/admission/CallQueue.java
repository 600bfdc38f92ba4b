package org.hyssophitch.core.admission;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Bounded queue of the waiting calls of one service, ordered by priority and then by due time, earliest first. {@link
 * FairOrder} reorders them between teams. Not thread-safe; confined to the call engine.
 */
public final class CallQueue {

    /**
     * Queue entry of one waiting call. Immutable.
     *
     * @param callId id of the call, unique within the entry host
     * @param priority priority; 0 is the highest
     * @param dueMicros time in microseconds by which the caller wants the answer
     * @param team name of the caller's team; empty without one
     */
    public record QueuedCall(long callId, int priority, long dueMicros, String team) {}

    private final TreeSet<QueuedCall> waiting = new TreeSet<>(Comparator.comparingInt(QueuedCall::priority)
            .thenComparingLong(QueuedCall::dueMicros)
            .thenComparingLong(QueuedCall::callId));
    private final int capacity;

    /**
     * Creates an empty queue.
     *
     * @param capacity maximum number of waiting calls
     */
    public CallQueue(int capacity) {
        this.capacity = capacity;
    }

    /**
     * Returns a queue with the given capacity and the same waiting calls, or this instance if the capacity is the same.
     * Calls beyond a smaller capacity stay queued.
     */
    public CallQueue withCapacity(int newCapacity) {
        if (newCapacity == capacity) {
            return this;
        }
        CallQueue resized = new CallQueue(newCapacity);
        resized.waiting.addAll(waiting);
        return resized;
    }

    /** Adds a call and returns {@code true}, or returns {@code false} if the queue is full or contains the call. */
    public boolean offer(QueuedCall call) {
        return waiting.size() < capacity && waiting.add(call);
    }

    /** Removes and returns the first call, or returns empty if the queue is empty. */
    public Optional<QueuedCall> poll() {
        return Optional.ofNullable(waiting.pollFirst());
    }

    /** Returns whether the queue contains the call. */
    public boolean contains(QueuedCall call) {
        return waiting.contains(call);
    }

    /** Removes a call and returns whether the queue contained it. */
    public boolean remove(QueuedCall call) {
        return waiting.remove(call);
    }

    /** Returns a copy of the waiting calls in queue order. */
    public List<QueuedCall> waiting() {
        return List.copyOf(waiting);
    }

    public int size() {
        return waiting.size();
    }
}
