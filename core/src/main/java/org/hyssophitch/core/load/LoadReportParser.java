package org.hyssophitch.core.load;

import java.util.Optional;

/**
 * Parses the value in which a backend server reports its load: the numbers of running and queued requests, a number
 * that is not used, and optionally the slowdown in percent. Stateless.
 */
public final class LoadReportParser {

    /** Slowdown that a server reports at its usual speed; higher values mean slower work. */
    private static final double USUAL_SLOWDOWN_PERCENT = 100;

    private static final int RUNNING_INDEX = 0;
    private static final int QUEUED_INDEX = 1;
    private static final int SLOWDOWN_INDEX = 3;

    /** Highest number of requests that is plausible; the sum of two fits into an {@code int}. */
    private static final int MAX_REQUESTS = 1_000_000_000;

    private LoadReportParser() {}

    /**
     * Parses a load report; empty if it is malformed or a number is out of its range.
     *
     * @param server name of the server that answered
     */
    public static Optional<LoadReport> parse(String server, String value, long nowMicros) {
        String[] fields = value.split(",");
        try {
            int running = Integer.parseInt(fields[RUNNING_INDEX].trim());
            int queued = Integer.parseInt(fields[QUEUED_INDEX].trim());
            double slowdown = fields.length > SLOWDOWN_INDEX
                    ? Double.parseDouble(fields[SLOWDOWN_INDEX].trim()) / USUAL_SLOWDOWN_PERCENT
                    : 1;
            boolean isPlausible = isCount(running) && isCount(queued) && slowdown > 0 && Double.isFinite(slowdown);
            return isPlausible
                    ? Optional.of(new LoadReport(server, running + queued, nowMicros, false, slowdown))
                    : Optional.empty();
        } catch (NumberFormatException | ArrayIndexOutOfBoundsException e) {
            return Optional.empty();
        }
    }

    private static boolean isCount(int requests) {
        return requests >= 0 && requests <= MAX_REQUESTS;
    }
}
