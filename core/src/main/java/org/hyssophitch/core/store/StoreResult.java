package org.hyssophitch.core.store;

/**
 * Result of a call to the platform's store. Every result is immutable. The simple names of the records are written to
 * the log.
 *
 * @param <V> type of the value that a successful call returns
 */
public sealed interface StoreResult<V> {

    /** The call succeeded. */
    record Done<V>(V value) implements StoreResult<V> {}

    /** The object doesn't exist. */
    record Absent<V>() implements StoreResult<V> {}

    /** The object already exists or is not at the expected revision; nothing was changed. */
    record Conflict<V>() implements StoreResult<V> {}

    /** The store no longer holds the history since the requested revision. */
    record HistoryGone<V>() implements StoreResult<V> {}

    /**
     * The store rejected the call; nothing was changed.
     *
     * @param status HTTP status
     */
    record Refused<V>(int status) implements StoreResult<V> {}

    /**
     * No valid response arrived: the call may have taken effect or may still do so.
     *
     * @param cause kind of failure
     */
    record MayBeDone<V>(Cause cause) implements StoreResult<V> {}

    /** Reasons for a missing response. The names are written to the log. */
    enum Cause {
        CONNECT_FAILED,
        CONNECTION_LOST,
        TIMED_OUT,
        MALFORMED
    }
}
