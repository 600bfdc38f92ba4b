package org.hyssophitch.standin;

import java.util.List;

/**
 * What a caller recorded of one request, from its first sending to its end. Immutable.
 *
 * @param requestId name of the request
 * @param service service that was called
 * @param isIdempotent whether the request may run more than once
 * @param outcomes what came back for each sending, in order
 * @param elapsedMicros time from the first sending to the last answer
 */
public record CallRecord(
        String requestId, String service, boolean isIdempotent, List<AttemptOutcome> outcomes, long elapsedMicros) {

    /** What came back for one sending. */
    public enum AttemptOutcome {
        /** The whole right answer. */
        COMPLETED,
        /** The system's word that the request ran before; its answer can't be had any more. */
        ALREADY_RUN,
        /** An answer that claims to be whole, but is not the right one. */
        WRONG,
        /** The system's word that the request was not run. */
        NOT_RUN,
        /** The system's word that the request may have run. */
        UNKNOWN,
        /** The connection broke before the answer was whole; the caller knows that it has no answer. */
        BROKEN,
        /** A backend server's own error. */
        SERVER_ERROR
    }

    /** Returns what came back for the last sending. */
    public AttemptOutcome lastOutcome() {
        return outcomes.getLast();
    }

    /** Returns whether nothing but "not run" ever came back. */
    public boolean isAlwaysNotRun() {
        return outcomes.stream().allMatch(a -> a == AttemptOutcome.NOT_RUN);
    }
}
