package org.hyssophitch.core.configuration;

/**
 * Limits on the size and duration of callers' requests. Immutable.
 *
 * @param maxHeaderBytes maximum size in bytes of the request line and headers
 * @param maxBodyBytes maximum size in bytes of a request body
 * @param headerTimeoutMillis timeout in milliseconds for receiving the request line and headers, from their first byte
 * @param idleTimeoutMillis time in milliseconds after which a connection without a request is closed
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, int headerTimeoutMillis, int idleTimeoutMillis) {

    /** Limits used when the configuration defines none. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 67_108_864, 3_000, 15_000);
}
