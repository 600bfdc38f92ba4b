package org.hyssophitch.core.call;

/** How an attempt ended. Every result is immutable. */
public sealed interface AttemptResult {

    /** Returns the result's name for the time line. */
    String label();

    /** The whole answer was relayed to the caller. */
    record Completed() implements AttemptResult {
        @Override
        public String label() {
            return "completed";
        }
    }

    /**
     * The backend server provably did not run the request.
     *
     * @param cause what proves it
     */
    record NotRun(NotRunCause cause) implements AttemptResult {
        @Override
        public String label() {
            return "not-run:" + cause;
        }
    }

    /**
     * The attempt ended without a whole answer; the backend server may have run the request.
     *
     * @param cause how the answer was lost
     */
    record Lost(LostCause cause) implements AttemptResult {
        @Override
        public String label() {
            return "lost:" + cause;
        }
    }

    /** Proofs that a request was not run. */
    enum NotRunCause {
        /** No connection could be opened, so no byte of the request was sent. */
        CONNECT_FAILED,
        /** The server answered that it shed the request without running it. */
        SHED,
        /** The address belongs to another server by now, which said so. */
        WRONG_INSTANCE,
        /** The server answered that it is leaving and did not run the request. */
        DRAINING
    }

    /** Ways in which an answer gets lost. */
    enum LostCause {
        /** The connection was closed or reset before the answer. */
        CONNECTION_LOST,
        /** The connection made no progress for the service's stall time. */
        STALLED,
        /** The answer began but did not end as announced. */
        ANSWER_BROKEN,
        /** The engine cancelled the attempt. */
        CANCELLED
    }
}
