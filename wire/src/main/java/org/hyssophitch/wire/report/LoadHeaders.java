package org.hyssophitch.wire.report;

import java.util.Optional;
import java.util.function.UnaryOperator;

import org.hyssophitch.core.load.LoadReport;

/** HTTP headers in which backend servers report their load with each response. Stateless. */
public final class LoadHeaders {

    /** Number of requests at the server, both running and queued. */
    public static final String IN_FLIGHT = "Load-In-Flight";
    /** Age of the load report in milliseconds when the server sent it; 0 when missing. */
    public static final String AGE_MILLIS = "Load-Age-Ms";
    /** {@code true} while the server is draining. */
    public static final String DRAINING = "Load-Draining";

    /** Requests per second that the server takes from all entry hosts together; missing if it states no limit. */
    public static final String LIMIT_PER_SECOND = "Load-Limit-Per-Second";

    private static final long MICROS_PER_MILLI = 1_000;

    private LoadHeaders() {}

    /**
     * Parses the load report in the headers of a response; returns empty when there is none or it is malformed.
     *
     * @param server name of the backend server that sent the response
     * @param header returns the value of a header, or null when it is missing
     * @param nowMicros arrival time of the response in microseconds since the epoch
     */
    public static Optional<LoadReport> parse(String server, UnaryOperator<String> header, long nowMicros) {
        String inFlight = header.apply(IN_FLIGHT);
        if (inFlight == null) {
            return Optional.empty();
        }
        try {
            String age = header.apply(AGE_MILLIS);
            long ageMicros = age == null ? 0 : Math.max(0, Long.parseLong(age)) * MICROS_PER_MILLI;
            boolean isDraining = Boolean.parseBoolean(header.apply(DRAINING));
            return Optional.of(
                    new LoadReport(server, Math.max(0, Integer.parseInt(inFlight)), nowMicros - ageMicros, isDraining));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
