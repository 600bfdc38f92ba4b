package org.hyssophitch.core.timeline;

/**
 * Timestamp of a hybrid logical clock: wall-clock time plus a counter that orders causally related events of equal
 * time. Immutable.
 *
 * @param micros microseconds since the epoch
 * @param counter order among events with the same microseconds
 */
public record HybridTimestamp(long micros, int counter) implements Comparable<HybridTimestamp> {

    private static final int HEX_RADIX = 16;

    /** Timestamp that sorts before every event. */
    public static final HybridTimestamp ZERO = new HybridTimestamp(0, 0);

    @Override
    public int compareTo(HybridTimestamp other) {
        int byTime = Long.compare(micros, other.micros);
        return byTime != 0 ? byTime : Integer.compare(counter, other.counter);
    }

    /** Returns the textual form that {@link #parse} reads. */
    public String format() {
        return Long.toString(micros, HEX_RADIX) + "." + Integer.toString(counter, HEX_RADIX);
    }

    /**
     * Parses the textual form. Returns {@link #ZERO} for malformed text, because an invalid timestamp from outside must
     * never fail a call.
     */
    public static HybridTimestamp parse(String text) {
        int dot = text == null ? -1 : text.indexOf('.');
        if (dot < 0) {
            return ZERO;
        }
        try {
            return new HybridTimestamp(
                    Long.parseLong(text.substring(0, dot), HEX_RADIX),
                    Integer.parseInt(text.substring(dot + 1), HEX_RADIX));
        } catch (NumberFormatException e) {
            return ZERO;
        }
    }
}
