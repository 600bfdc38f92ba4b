package org.hyssophitch.core.store;

/** How long the watches of a host wait, and how long it collects changes between two of them. */
public enum WatchPacing {
    /** For a host that watches the store for itself alone: few calls, each of which has a price. */
    ALONE(8_000, 600_000),
    /**
     * For such a host and objects that change rarely but are large: several versions in an answer may not fit the
     * heap.
     */
    ALONE_RARE(8_000, 200_000),
    /** For a host through which others watch: short waits prove to them that its view of the store is current. */
    RELAY(1_000, 200_000),
    /** For a relay of objects that change rarely, where the watch of another kind gives that proof. */
    RELAY_RARE(8_000, 200_000),
    /** For a host that watches through a relay, where calls have no price; a relay's proof is due within the wait. */
    RELAYED(1_150, 20_000),
    /** For a host that watches objects through a relay that change rarely. */
    RELAYED_RARE(4_000, 20_000);

    private final int waitMillis;
    private final long batchDelayMicros;

    WatchPacing(int waitMillis, long batchDelayMicros) {
        this.waitMillis = waitMillis;
        this.batchDelayMicros = batchDelayMicros;
    }

    /** Returns the maximum wait of one watch in milliseconds. */
    public int waitMillis() {
        return waitMillis;
    }

    /** Returns the delay in microseconds between a watch that returned changes and the next one. */
    public long batchDelayMicros() {
        return batchDelayMicros;
    }

    /** Returns whether other hosts watch through this one. */
    public boolean isRelay() {
        return this == RELAY || this == RELAY_RARE;
    }

    /** Returns the pacing in the same role for objects that change rarely. */
    public WatchPacing forRareChanges() {
        return switch (this) {
            case ALONE, ALONE_RARE -> ALONE_RARE;
            case RELAY, RELAY_RARE -> RELAY_RARE;
            case RELAYED, RELAYED_RARE -> RELAYED_RARE;
        };
    }
}
