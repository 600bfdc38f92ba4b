package org.hyssophitch.core.load;

/**
 * What one backend server said about its load, by an answer's header or by a probe. Immutable.
 *
 * @param server backend server
 * @param inFlight requests at the server, running and waiting together
 * @param takenMicros time at which the server took the figure, as known to the receiver, in microseconds
 * @param draining whether the server says that it is leaving
 * @param slowdown time that work takes at the server now, relative to its usual time; 1 when it doesn't tell
 */
public record LoadReport(String server, int inFlight, long takenMicros, boolean draining, double slowdown) {

    /** Creates a report of a server that doesn't tell its speed. */
    public LoadReport(String server, int inFlight, long takenMicros, boolean draining) {
        this(server, inFlight, takenMicros, draining, 1);
    }

    /** Returns the report's age in microseconds; never negative. */
    public long ageMicros(long nowMicros) {
        return Math.max(0, nowMicros - takenMicros);
    }

    /** Returns this report with another draining mark, or this instance when nothing changes. */
    public LoadReport withDraining(boolean value) {
        return value == draining ? this : new LoadReport(server, inFlight, takenMicros, value, slowdown);
    }
}
