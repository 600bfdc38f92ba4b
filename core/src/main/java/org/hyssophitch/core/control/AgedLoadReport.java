package org.hyssophitch.core.control;

import org.hyssophitch.core.load.LoadReport;

/**
 * A load report as sent between processes, with its age in place of a timestamp, so that it doesn't depend on
 * synchronized clocks. Immutable.
 *
 * @param server backend server
 * @param inFlight number of requests in flight at the server
 * @param ageMicros age of the report when it was sent, in microseconds
 * @param draining whether the server reports that it is draining
 */
public record AgedLoadReport(String server, int inFlight, long ageMicros, boolean draining) {

    /** Converts a report to be sent now. */
    public static AgedLoadReport of(LoadReport r, long nowMicros) {
        return new AgedLoadReport(r.server(), r.inFlight(), r.ageMicros(nowMicros), r.draining());
    }

    /** Returns the report with a timestamp of the receiver's clock. */
    public LoadReport toLoadReport(long nowMicros) {
        return new LoadReport(server, inFlight, nowMicros - ageMicros, draining);
    }
}
