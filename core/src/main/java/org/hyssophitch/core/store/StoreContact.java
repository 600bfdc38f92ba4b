package org.hyssophitch.core.store;

/**
 * When the store last answered this host, and last failed to. Shared by the watches of all kinds; not thread-safe.
 *
 * <p>A watch that waits at the store is told of each change at once, so it is as current as any later answer of the
 * store, unless a call has failed since: then the answer to the watch may be lost as well.
 */
public final class StoreContact {

    private static final long NEVER = Long.MIN_VALUE / 2;

    private long answeredMicros = NEVER;
    private long failedMicros = NEVER;

    /**
     * Records an answer.
     *
     * @param stateMicros time in microseconds whose state of the store the answer shows, or an earlier one
     */
    public void onAnswered(long stateMicros) {
        answeredMicros = Math.max(answeredMicros, stateMicros);
    }

    /** Records that a call failed. */
    public void onFailed(long nowMicros) {
        failedMicros = nowMicros;
    }

    /** Returns the time in microseconds up to which a watch that waits since another time has missed no change. */
    public long completeMicros(long waitingSinceMicros) {
        return failedMicros < waitingSinceMicros && answeredMicros >= waitingSinceMicros ? answeredMicros : NEVER;
    }
}
