package org.hyssophitch.standin;

import java.util.List;

/**
 * Record of one request by a caller, over all attempts. Immutable.
 *
 * @param requestId id of the request
 * @param service name of the called service
 * @param isIdempotent whether the request may run more than once
 * @param outcomes outcome of each attempt, in order
 * @param elapsedMicros time in microseconds from the start of the first attempt to the end of the last
 */
public record CallRecord(
        String requestId, String service, boolean isIdempotent, List<AttemptOutcome> outcomes, long elapsedMicros) {

    /** Outcome of one attempt as the caller sees it. */
    public enum AttemptOutcome {
        /** The response was complete and correct. */
        COMPLETED,
        /** The load balancer reported that the request ran before and that its response is no longer available. */
        ALREADY_RUN,
        /** The response claimed to be complete, but was not the correct one. */
        WRONG,
        /** The load balancer reported that the request did not run. */
        NOT_RUN,
        /** The load balancer reported that the request may have run. */
        UNKNOWN,
        /** The connection failed before the response was complete, and the caller noticed. */
        BROKEN,
        /** The backend server responded with an error. */
        SERVER_ERROR
    }

    /** Returns the outcome of the last attempt. */
    public AttemptOutcome lastOutcome() {
        return outcomes.getLast();
    }

    /** Returns whether every attempt was reported as not run. */
    public boolean isAlwaysNotRun() {
        return outcomes.stream().allMatch(a -> a == AttemptOutcome.NOT_RUN);
    }
}
