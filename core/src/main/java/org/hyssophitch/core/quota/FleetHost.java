package org.hyssophitch.core.quota;

/**
 * One entry host as another one sees it. Immutable.
 *
 * @param name name of the host
 * @param incarnation start time of its process in microseconds
 * @param state what is known of it
 */
public record FleetHost(String name, long incarnation, State state) {

    /** What is known of a host. */
    public enum State {
        /** Live, and accepts requests. */
        ALIVE,
        /** Live, but accepts no requests from callers: it is leaving, or not ready yet. */
        LEAVING,
        /** Hasn't answered a heartbeat, and has time to refute the suspicion. */
        SUSPECT,
        /** Silent for a short time; it may still run. */
        SILENT,
        /** Silent for so long that it doesn't count as known any more. */
        LOST
    }

    /** Returns whether the host may own quotas. */
    boolean isCandidate() {
        return state == State.ALIVE || state == State.SUSPECT;
    }

    /** Returns whether the host is known to run. */
    boolean isRunning() {
        return state == State.ALIVE || state == State.LEAVING;
    }
}
