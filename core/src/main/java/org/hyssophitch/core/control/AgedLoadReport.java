package org.hyssophitch.core.control;

import org.hyssophitch.core.load.LoadReport;

/**
 * A load report in transit between processes, which carries its age in place of a time. Immutable.
 *
 * @param server backend server
 * @param inFlight requests at the server
 * @param ageMicros age of the figure when it was sent, in microseconds
 * @param draining whether the server says that it is leaving
 */
public record AgedLoadReport(String server, int inFlight, long ageMicros, boolean draining) {

    /** Puts a report into transit. */
    public static AgedLoadReport of(LoadReport r, long nowMicros) {
        return new AgedLoadReport(r.server(), r.inFlight(), r.ageMicros(nowMicros), r.draining());
    }

    /** Returns the report as its receiver keeps it. */
    public LoadReport toLoadReport(long nowMicros) {
        return new LoadReport(server, inFlight, nowMicros - ageMicros, draining);
    }
}
