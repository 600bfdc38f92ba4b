package org.hyssophitch.wire.platform;

/**
 * Result of one call to the platform. Every result is immutable.
 *
 * @param <T> kind of value that the call reads
 */
public sealed interface PlatformResult<T> {

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
