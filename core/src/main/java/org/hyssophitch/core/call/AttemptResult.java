package org.hyssophitch.core.call;

/** Result of an ended attempt. Every result is immutable. */
public sealed interface AttemptResult {

    /** Returns the result's name in the timeline. */
    String label();

    /** The complete response was relayed to the caller. */
    record Completed() implements AttemptResult {
        @Override
        public String label() {
            return "completed";
        }
    }

    /**
     * The backend server provably did not run the request.
     *
     * @param cause evidence for it
     */
    record NotRun(NotRunCause cause) implements AttemptResult {
        @Override
        public String label() {
            return "not-run:" + cause;
        }
    }

    /**
     * The attempt ended without a complete response; the backend server may have run the request.
     *
     * @param cause how the response was lost
     */
    record Lost(LostCause cause) implements AttemptResult {
        @Override
        public String label() {
            return "lost:" + cause;
        }
    }

    /** Evidence that a backend server did not run a request. */
    enum NotRunCause {
        /** No connection could be opened, so no byte of the request was sent. */
        CONNECT_FAILED,
        /** The server answered that it shed the request under load without running it. */
        SHED,
        /** The server at the address identified itself as another instance. */
        WRONG_INSTANCE,
        /** The server answered that it is draining and did not run the request. */
        DRAINING,
        /** The caller's API key was removed before a connection was open, so no byte of the request was sent. */
        KEY_REMOVED
    }

    /** Ways in which a response is lost. */
    enum LostCause {
        /** The connection was closed or reset before the response began. */
        CONNECTION_LOST,
        /** The connection made no progress for the service's stall timeout. */
        STALLED,
        /** The response began but did not end as its headers announced. */
        ANSWER_BROKEN,
        /** The engine cancelled the attempt. */
        CANCELLED
    }
}
