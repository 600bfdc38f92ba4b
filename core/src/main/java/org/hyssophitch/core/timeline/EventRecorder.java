package org.hyssophitch.core.timeline;

/**
 * Receives the timeline events of one process. Implementations add timestamps and store the events.
 */
@FunctionalInterface
public interface EventRecorder {

    /** Recorder that discards every event. */
    EventRecorder NONE = (nowMicros, requestId, body) -> {};

    /**
     * Records an event.
     *
     * @param nowMicros time of the event in microseconds
     * @param requestId id of the request that the event belongs to, or empty
     * @param body type-specific content of the event
     */
    void record(long nowMicros, String requestId, EventBody body);

    /** Returns whether the caller should include details that are expensive to build. */
    default boolean isDetailed() {
        return this != NONE;
    }
}
