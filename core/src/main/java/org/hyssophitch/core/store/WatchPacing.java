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

    /** Maximum wait in milliseconds of a watch at the store in place of one through a relay. */
    private static final int MAX_SUBSTITUTE_MILLIS = 2_000;
    /** Minimum wait in milliseconds of a relay's watch. */
    private static final int MIN_RELAY_MILLIS = 50;

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

    /**
     * Returns the wait in milliseconds of a watch at the store. That of a relay ends when its view would get too old
     * for the other hosts, and that of a host which usually watches through a relay when it may ask a relay again.
     *
     * @param wantedMillis wait that the watcher wants
     * @param ageMillis age of the host's view
     */
    public int storeWaitMillis(int wantedMillis, long ageMillis) {
        return switch (this) {
            case RELAYED, RELAYED_RARE -> Math.min(wantedMillis, MAX_SUBSTITUTE_MILLIS);
            case RELAY ->
                wantedMillis > waitMillis
                        ? wantedMillis
                        : (int) Math.max(MIN_RELAY_MILLIS, wantedMillis - Math.max(0, ageMillis));
            case ALONE, ALONE_RARE, RELAY_RARE -> wantedMillis;
        };
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
