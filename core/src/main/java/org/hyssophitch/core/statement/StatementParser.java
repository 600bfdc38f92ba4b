package org.hyssophitch.core.statement;

import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.hyssophitch.core.statement.ServerStatement.Cold;
import org.hyssophitch.core.statement.ServerStatement.Leaving;
import org.hyssophitch.core.statement.ServerStatement.RateLimit;
import org.hyssophitch.core.statement.ServerStatement.Unusable;
import org.hyssophitch.core.statement.ServerStatement.Wait;

/**
 * Parses the values in which backend servers state something, whatever the headers of a deployment are called.
 * Stateless.
 */
public final class StatementParser {

    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,12}(\\.[0-9]{1,12})?");
    /** Lower bound of a rate limit, so that a server that states 0 is asked now and then whether it still does. */
    private static final double MIN_LIMIT_PER_SECOND = 0.1;
    /** Highest rate limit in requests per second that is plausible. */
    private static final double MAX_LIMIT_PER_SECOND = 1_000_000;

    /** Longest wait in seconds that is plausible. */
    private static final double MAX_WAIT_SECONDS = 3_600;

    private static final double MICROS_PER_SECOND = 1_000_000;
    private static final double MICROS_PER_MILLI = 1_000;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final int MAX_LOGGED_CHARS = 40;
    private static final String RETRY_AFTER = "Retry-After";
    private static final String YES = "1";
    private static final String NO = "0";

    private StatementParser() {}

    /**
     * Parses a rate limit in requests per second.
     *
     * @param name name of the header
     */
    public static ServerStatement limit(String name, String value) {
        double perSecond = number(value);
        return perSecond >= 0 && perSecond <= MAX_LIMIT_PER_SECOND
                ? new RateLimit(Math.max(MIN_LIMIT_PER_SECOND, perSecond))
                : unusable(name, value);
    }

    /**
     * Parses whether the server is leaving: 1 or 0; empty if it isn't.
     *
     * @param name name of the header
     */
    public static Optional<ServerStatement> leaving(String name, String value) {
        return switch (value.trim()) {
            case YES -> Optional.of(new Leaving());
            case NO -> Optional.empty();
            default -> Optional.of(unusable(name, value));
        };
    }

    /** Parses values of Retry-After: for how many seconds the server wants nothing. A date isn't usable. */
    public static Stream<ServerStatement> waits(List<String> values) {
        return values.stream().map(StatementParser::wait);
    }

    /**
     * Parses for how many milliseconds the server remains cold.
     *
     * @param name name of the header
     */
    public static ServerStatement coldMillis(String name, String value) {
        double millis = number(value);
        return millis >= 0 && millis <= MAX_WAIT_SECONDS * MILLIS_PER_SECOND
                ? new Cold((long) (millis * MICROS_PER_MILLI))
                : unusable(name, value);
    }

    private static ServerStatement wait(String value) {
        double seconds = number(value);
        return seconds >= 0 && seconds <= MAX_WAIT_SECONDS
                ? new Wait((long) (seconds * MICROS_PER_SECOND))
                : unusable(RETRY_AFTER, value);
    }

    /** Parses a decimal number; NaN if it is malformed. */
    private static double number(String value) {
        return DECIMAL.matcher(value.trim()).matches() ? Double.parseDouble(value.trim()) : Double.NaN;
    }

    private static Unusable unusable(String name, String value) {
        return new Unusable(name, value.substring(0, Math.min(value.length(), MAX_LOGGED_CHARS)));
    }
}
