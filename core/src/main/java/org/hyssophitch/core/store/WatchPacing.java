package org.hyssophitch.core.store;

/** How long the watches of a host wait, and how long it collects changes between two of them. */
public enum WatchPacing {
    /** For a host that watches the store for itself alone: few calls, each of which has a price. */
    ALONE(8_000, 600_000),
    /** For a host through which others watch: short waits prove to them that its view of the store is current. */
    RELAY(1_000, 200_000),
    /** For a host that watches through a relay, where calls have no price. */
    RELAYED(1_000, 20_000);

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
}
