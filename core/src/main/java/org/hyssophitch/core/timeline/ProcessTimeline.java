package org.hyssophitch.core.timeline;

/**
 * Event recorder of one process: adds hybrid logical timestamps to events and keeps the latest ones in a ring buffer.
 * Thread-safe; lives as long as its process.
 */
public final class ProcessTimeline implements EventRecorder {

    private final String process;
    private final String zone;
    private final HybridClock clock = new HybridClock();
    private final EventRing ring;

    /**
     * Creates the timeline of a process.
     *
     * @param process name of the process
     * @param zone availability zone of the process
     * @param capacity maximum number of events kept
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
