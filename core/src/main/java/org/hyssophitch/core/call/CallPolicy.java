package org.hyssophitch.core.call;

/**
 * What a route grants to one call. Immutable.
 *
 * @param maxAttempts largest number of backend servers that the call may be sent to; 0 leaves it to the service
 * @param priority rank among waiting calls; 0 is the highest
 * @param targetMicros time in microseconds by which an answer is worth most to the caller; lies in the past for one
 *     that comes back too late
 * @param targetLatencyMicros time in microseconds from a caller's first arrival to its target
 */
public record CallPolicy(int maxAttempts, int priority, long targetMicros, long targetLatencyMicros) {

    /** Terms of a call that no route matched, because its caller names the service. */
    public static final CallPolicy NONE = new CallPolicy(0, 0, Long.MAX_VALUE, 0);
}
