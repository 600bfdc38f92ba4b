package org.hyssophitch.core.atmostonce;

import java.util.Optional;

/**
 * Name of one non-idempotent request, issued by an entry host's proxy process, which alone may run it. Immutable.
 *
 * @param host name of the issuing entry host
 * @param incarnation incarnation of the issuing process
 * @param sequence number of the ticket within the process, from 1
 */
public record Ticket(String host, long incarnation, long sequence) {

    private static final String PREFIX = "t";
    private static final String SEPARATOR = "~";
    private static final int PARTS = 4;
    private static final int RADIX = 36;

    /** Returns the textual form that callers send as the request id. */
    public String format() {
        return String.join(SEPARATOR, PREFIX, host, Long.toString(incarnation, RADIX), Long.toString(sequence, RADIX));
    }

    /** Parses the textual form; empty for text that is no ticket. */
    public static Optional<Ticket> parse(String text) {
        String[] parts = text.split(SEPARATOR, -1);
        if (parts.length != PARTS || !parts[0].equals(PREFIX) || parts[1].isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(new Ticket(parts[1], Long.parseLong(parts[2], RADIX), Long.parseLong(parts[3], RADIX)));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
