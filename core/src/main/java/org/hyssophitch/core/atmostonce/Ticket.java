package org.hyssophitch.core.atmostonce;

import java.util.Optional;

/**
 * Id of one non-idempotent request, issued by the proxy process of an entry host. Only that process may run the
 * request. Immutable.
 *
 * @param host name of the issuing entry host
 * @param incarnation incarnation number of the issuing process
 * @param sequence number of the ticket within the process, starting at 1
 */
public record Ticket(String host, long incarnation, long sequence) {

    private static final String PREFIX = "t";
    private static final String SEPARATOR = "~";
    private static final int PARTS = 4;
    private static final int RADIX = 36;

    /** Returns the text form, which callers send as the request id. */
    public String format() {
        return String.join(SEPARATOR, PREFIX, host, Long.toString(incarnation, RADIX), Long.toString(sequence, RADIX));
    }

    /** Parses the text form; returns empty if the text isn't a ticket. */
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
