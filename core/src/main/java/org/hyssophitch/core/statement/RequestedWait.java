package org.hyssophitch.core.statement;

import java.util.Locale;
import java.util.Optional;

import org.hyssophitch.core.statement.ServerStatement.Wait;

/**
 * The time for which one backend server process wants nothing from this entry host. Not thread-safe; confined to the
 * call engine.
 *
 * <p>A server in need asks all hosts at about the same time. So that they don't all return at once, each host returns
 * some time later than asked, in an order that differs from server to server.
 */
final class RequestedWait {

    /** Longest wait in microseconds that a host keeps without asking the server again. */
    private static final long MAX_WAIT_MICROS = 120_000_000;
    /** Time in microseconds between the returns of two hosts, on average. */
    private static final long RETURN_INTERVAL_MICROS = 40_000;
    /** Upper bound of the time in microseconds over which the hosts return. */
    private static final long MAX_RETURN_MICROS = 5_000_000;

    private static final double MICROS_PER_SECOND = 1_000_000;

    private long heardMicros;
    private long endMicros;

    /**
     * Applies a statement; a longer wait that is in force already stays.
     *
     * @param phase this host's place in the order of return, from 0 to 1
     * @param hosts number of entry hosts
     * @return whether the wait changed
     */
    boolean hear(Wait stated, double phase, int hosts, long nowMicros) {
        long asked = Math.min(MAX_WAIT_MICROS, stated.micros());
        long spread = Math.min(MAX_RETURN_MICROS, Math.min(asked, hosts * RETURN_INTERVAL_MICROS));
        long end = nowMicros + asked + (long) (spread * phase);
        heardMicros = nowMicros;
        if (end <= endMicros) {
            return false;
        }
        endMicros = end;
        return true;
    }

    /** Returns the time in microseconds from which the server may be asked again; the current time if it may be now. */
    long endMicros(long nowMicros) {
        return Math.max(nowMicros, endMicros);
    }

    /** Returns the time in microseconds at which the server last asked for a wait; 0 if it never did. */
    long heardMicros() {
        return heardMicros;
    }

    Optional<String> describe(long nowMicros) {
        return endMicros > nowMicros
                ? Optional.of(
                        String.format(Locale.ROOT, "nothing for %.3f s", (endMicros - nowMicros) / MICROS_PER_SECOND))
                : Optional.empty();
    }
}
