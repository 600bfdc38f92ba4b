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
     * Records the answer to a watch, and returns the time whose state of the store it shows at least: the end of its
     * wait if there are no changes, else its begin. All times are in microseconds.
     */
    public long onWatchAnswered(long sentMicros, long waitMicros, boolean hasChanges, long nowMicros) {
        long stateMicros = hasChanges ? sentMicros : Math.min(nowMicros, sentMicros + waitMicros);
        answeredMicros = Math.max(answeredMicros, stateMicros);
        return stateMicros;
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
