package org.hyssophitch.core.timeline;

/**
 * Sink for the events of one process. Implementations stamp and store them; the core only states what happened.
 */
@FunctionalInterface
public interface EventRecorder {

    /** Recorder that drops every event. */
    EventRecorder NONE = (nowMicros, requestId, body) -> {};

    /**
     * Records an event.
     *
     * @param nowMicros time of the event in microseconds
     * @param requestId request that the event belongs to, or empty
     * @param body what happened
     */
    void record(long nowMicros, String requestId, EventBody body);

    /** Returns whether details that cost time to build are wanted. */
    default boolean isDetailed() {
        return this != NONE;
    }
}
