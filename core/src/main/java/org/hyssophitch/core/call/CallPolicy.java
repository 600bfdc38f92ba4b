package org.hyssophitch.core.call;

/**
 * Policy that a route applies to one call. Immutable.
 *
 * @param maxAttempts upper bound on the attempts of the call; 0 uses the service's limit
 * @param priority priority among queued calls, of the team and then of the route; 0 is the highest
 * @param returnRank rank in which callers return after a refusal; 0 returns first
 * @param targetMicros time in microseconds by which the call should be answered; in the past if the caller retries
 *     after its target
 * @param targetLatencyMicros time in microseconds from the first arrival of the request to its target; 0 without one
 */
public record CallPolicy(int maxAttempts, int priority, int returnRank, long targetMicros, long targetLatencyMicros) {

    /** Policy of a call that specifies its service itself, so that no route applies. */
    public static final CallPolicy NONE = new CallPolicy(0, 0, Long.MAX_VALUE, 0);

    /** Creates a policy in which callers return in the order of their calls' priority. */
    public CallPolicy(int maxAttempts, int priority, long targetMicros, long targetLatencyMicros) {
        this(maxAttempts, priority, priority, targetMicros, targetLatencyMicros);
    }
}
