package org.hyssophitch.wire.report;

import java.util.Optional;
import java.util.function.UnaryOperator;

import org.hyssophitch.core.load.LoadReport;

/** Load figures that backend servers put into the headers of their answers. Stateless. */
public final class LoadHeaders {

    /** Requests at the server, running and waiting. */
    public static final String IN_FLIGHT = "Load-In-Flight";
    /** Age in milliseconds of the figure at the server; 0 when missing. */
    public static final String AGE_MILLIS = "Load-Age-Ms";
    /** {@code true} while the server is leaving. */
    public static final String DRAINING = "Load-Draining";

    private static final long MICROS_PER_MILLI = 1_000;

    private LoadHeaders() {}

    /**
     * Reads a report from an answer's headers; empty when there is none or it can't be parsed.
     *
     * @param server backend server that answered
     * @param header returns a header's value or null
     * @param nowMicros time of the answer in microseconds
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
