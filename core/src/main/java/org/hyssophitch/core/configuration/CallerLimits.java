package org.hyssophitch.core.configuration;

/**
 * Bounds on what a caller may send and how long it may take. Immutable.
 *
 * @param maxHeaderBytes largest size in bytes of a request's head
 * @param maxBodyBytes largest size in bytes of a request's body
 * @param headerTimeoutMillis time in milliseconds that a begun request may take to arrive
 * @param idleTimeoutMillis time in milliseconds after which a connection without a request is closed
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, int headerTimeoutMillis, int idleTimeoutMillis) {

    /** Limits used when the configuration names none. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 67_108_864, 3_000, 15_000);
}
