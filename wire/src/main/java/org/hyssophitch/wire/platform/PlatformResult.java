package org.hyssophitch.wire.platform;

import java.util.function.Function;

/**
 * Result of one call to the platform. Every result is immutable.
 *
 * @param <T> kind of value that the call reads
 */
public sealed interface PlatformResult<T> {

    /**
     * Returns the result that a function makes of a found value; every other result stays as it is.
     *
     * @param mapper makes a result of the found value
     * @param <U> kind of value of the new result
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
     * @param value its value
     * @param version its version
     */
    record Found<T>(T value, long version) implements PlatformResult<T> {}

    /** The object doesn't exist, or a watch ended without a change. */
    record Absent<T>() implements PlatformResult<T> {}

    /**
     * A conditional write took effect.
     *
     * @param version version that it got
     */
    record Written<T>(long version) implements PlatformResult<T> {}

    /**
     * A conditional write did not take effect, because the object has another version.
     *
     * @param version version that the object has
     */
    record Conflict<T>(long version) implements PlatformResult<T> {}

    /** The platform refused the call to protect itself. */
    record Throttled<T>() implements PlatformResult<T> {}

    /**
     * No answer came; a write may have taken effect.
     *
     * @param cause type of failure
     */
    record Unreachable<T>(String cause) implements PlatformResult<T> {}
}
