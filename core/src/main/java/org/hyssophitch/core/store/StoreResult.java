package org.hyssophitch.core.store;

/**
 * How a call to the platform's store ended. Every result is immutable.
 *
 * @param <V> what a successful call returns
 */
public sealed interface StoreResult<V> {

    /** The call took effect. */
    record Done<V>(V value) implements StoreResult<V> {}

    /** There is no such object. */
    record NotFound<V>() implements StoreResult<V> {}

    /** The object exists already, or is not at the expected revision; nothing was done. */
    record Conflict<V>() implements StoreResult<V> {}

    /** The store doesn't know the changes since the revision asked for any more. */
    record HistoryGone<V>() implements StoreResult<V> {}

    /**
     * The store turned the call away; nothing was done.
     *
     * @param status HTTP status
     */
    record Refused<V>(int status) implements StoreResult<V> {}

    /**
     * No answer came: the call may have been done, or may be done later.
     *
     * @param cause type of failure
     */
    record OutcomeUnknown<V>(Cause cause) implements StoreResult<V> {}

    /** Ways in which an answer fails to come. */
    enum Cause {
        CONNECT_FAILED,
        CONNECTION_LOST,
        TIMED_OUT,
        MALFORMED
    }
}
