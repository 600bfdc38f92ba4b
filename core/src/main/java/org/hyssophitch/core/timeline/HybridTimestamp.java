package org.hyssophitch.core.timeline;

/**
 * Timestamp of a hybrid logical clock: wall-clock time plus a counter that orders events of equal time causally.
 * Immutable.
 *
 * @param micros microseconds since the epoch
 * @param counter order among events with the same microseconds
 */
public record HybridTimestamp(long micros, int counter) implements Comparable<HybridTimestamp> {

    private static final int HEX = 16;

    /** Timestamp before every event. */
    public static final HybridTimestamp ZERO = new HybridTimestamp(0, 0);

    @Override
    public int compareTo(HybridTimestamp other) {
        int byTime = Long.compare(micros, other.micros);
        return byTime != 0 ? byTime : Integer.compare(counter, other.counter);
    }

    /** Returns the textual form that {@link #parse} reads. */
    public String format() {
        return Long.toString(micros, HEX) + "." + Integer.toString(counter, HEX);
    }

    /**
     * Parses the textual form, or returns {@link #ZERO} for text of another form, because a timestamp from outside
     * must never fail a call.
     */
    public static HybridTimestamp parse(String text) {
        int dot = text == null ? -1 : text.indexOf('.');
        if (dot < 0) {
            return ZERO;
        }
        try {
            return new HybridTimestamp(
                    Long.parseLong(text.substring(0, dot), HEX), Integer.parseInt(text.substring(dot + 1), HEX));
        } catch (NumberFormatException e) {
            return ZERO;
        }
    }
}
