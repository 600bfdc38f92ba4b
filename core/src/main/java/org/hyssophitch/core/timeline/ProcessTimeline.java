package org.hyssophitch.core.timeline;

/**
 * Recorder of one process: stamps events with its hybrid logical clock and keeps them in its ring. Thread-safe.
 */
public final class ProcessTimeline implements EventRecorder {

    private final String process;
    private final String zone;
    private final HybridClock clock = new HybridClock();
    private final EventRing ring;

    /**
     * Creates the time line of a process.
     *
     * @param process name of the process
     * @param zone availability zone of the process
     * @param capacity number of events kept
     */
    public ProcessTimeline(String process, String zone, int capacity) {
        this.process = process;
        this.zone = zone;
        this.ring = new EventRing(capacity);
    }

    @Override
    public void record(long nowMicros, String requestId, EventBody body) {
        ring.add(new TimelineEvent(clock.tick(nowMicros), process, zone, requestId, body));
    }

    public HybridClock clock() {
        return clock;
    }

    public EventRing ring() {
        return ring;
    }
}
