package org.hyssophitch.wire.platform;

import java.util.function.Function;

/**
 * Result of one call to the platform. Every result is immutable.
 *
 * @param <T> type of the value that the call reads
 */
public sealed interface PlatformResult<T> {

    /**
     * Applies a function to a found value; returns any other result unchanged.
     *
     * @param mapper maps the found value to a result
     * @param <U> type of the value of the new result
     */
    default <U> PlatformResult<U> flatMap(Function<Found<T>, PlatformResult<U>> mapper) {
        return switch (this) {
            case Found<T> f -> mapper.apply(f);
            case Absent<T> a -> new Absent<>();
            case Written<T> w -> new Written<>(w.version());
            case Conflict<T> c -> new Conflict<>(c.version());
            case Throttled<T> t -> new Throttled<>();
            case Unreachable<T> u -> new Unreachable<>(u.cause());
        };
    }

    /**
     * The object exists.
     *
     * @param value value of the object
     * @param version version of the object
     */
    record Found<T>(T value, long version) implements PlatformResult<T> {}

    /** The object doesn't exist, or a watch timed out without a change. */
    record Absent<T>() implements PlatformResult<T> {}

    /**
     * A conditional write succeeded.
     *
     * @param version new version of the object
     */
    record Written<T>(long version) implements PlatformResult<T> {}

    /**
     * A conditional write was rejected because the object has another version.
     *
     * @param version current version of the object
     */
    record Conflict<T>(long version) implements PlatformResult<T> {}

    /** The platform rejected the call because of its rate limit. */
    record Throttled<T>() implements PlatformResult<T> {}

    /**
     * The call failed without a usable response; a write may have taken effect.
     *
     * @param cause type of the failure
     */
    record Unreachable<T>(String cause) implements PlatformResult<T> {}
}
