package org.hyssophitch.core.store;

import java.util.random.RandomGenerator;

/**
 * How long a host may rely on relays for its view of one kind of objects. Each proof that the view is complete up to
 * some time renews the lease; when it ends, the host asks the store, whatever the relays do. Not thread-safe.
 *
 * <p>So the delay of a change is bounded on each host by its own clock: it doesn't depend on how many of the other
 * hosts are frozen, stopped or cut off at once, nor on who is a relay.
 */
public final class ViewLease {

    /** Age in microseconds that a view may reach; a relay proves its own about once a second. */
    private static final long MIN_DURATION_MICROS = 1_300_000;
    /** Maximum time in microseconds added to it, which spreads the calls of hosts that lose the same relay. */
    private static final long MAX_JITTER_MICROS = 150_000;
    /** Shortest time in microseconds for which it is worth asking a relay. */
    private static final long MIN_USE_MICROS = 100_000;

    private final long durationMicros;
    private long completeMicros = Long.MIN_VALUE / 2;

    /**
     * Creates a lease that has ended.
     *
     * @param random seeded random generator
     */
    public ViewLease(RandomGenerator random) {
        this.durationMicros = MIN_DURATION_MICROS + random.nextLong(MAX_JITTER_MICROS);
    }

    /** Records that the view is complete up to a time in microseconds. */
    public void renew(long completeUntilMicros) {
        completeMicros = Math.max(completeMicros, completeUntilMicros);
    }

    /** Returns the time in microseconds up to which the view is known to be complete. */
    public long completeMicros() {
        return completeMicros;
    }

    /** Returns the time in microseconds that is left; 0 once the lease has ended. */
    public long remainingMicros(long nowMicros) {
        return Math.max(0, completeMicros + durationMicros - nowMicros);
    }

    /** Returns whether enough time is left to ask a relay. */
    public boolean isUsable(long nowMicros) {
        return remainingMicros(nowMicros) >= MIN_USE_MICROS;
    }
}
