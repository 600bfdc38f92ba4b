package org.hyssophitch.core.load;

/**
 * Load report of one backend server, received in the headers of an answer or by a probe. Immutable.
 *
 * @param server backend server
 * @param inFlight requests at the server, running and queued
 * @param takenMicros time in microseconds, by the receiver's clock, at which the server sampled its load
 * @param draining whether the server reports that it is draining
 * @param slowdown current duration of work at the server relative to its usual duration; 1 if not reported
 */
public record LoadReport(String server, int inFlight, long takenMicros, boolean draining, double slowdown) {

    /** Creates a report without a slowdown. */
    public LoadReport(String server, int inFlight, long takenMicros, boolean draining) {
        this(server, inFlight, takenMicros, draining, 1);
    }

    /** Returns the age of the report in microseconds, never negative. */
    public long ageMicros(long nowMicros) {
        return Math.max(0, nowMicros - takenMicros);
    }

    /** Returns a report with the given draining state, or this instance if it is the same. */
    public LoadReport withDraining(boolean value) {
        return value == draining ? this : new LoadReport(server, inFlight, takenMicros, value, slowdown);
    }
}
