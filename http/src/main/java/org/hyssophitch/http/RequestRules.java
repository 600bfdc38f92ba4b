package org.hyssophitch.http;

import org.hyssophitch.core.call.CallRequest;
import org.hyssophitch.core.call.Reason;
import org.hyssophitch.core.configuration.CallerLimits;

/**
 * Decides what a caller's request is before the engine gets it. Implementations live on the event loop.
 */
public interface RequestRules {

    /**
     * What is known of a request once its head is there. Immutable.
     *
     * @param host host name without a port
     * @param path path without a query
     * @param requestId name that the caller gave to the request; empty without one
     * @param deadlineMillis time in milliseconds that the caller waits; 0 when it doesn't say
     * @param method method of the request
     */
    record RequestHead(String host, String path, String requestId, long deadlineMillis, String method) {}

    /** Result of looking at a request's head. */
    sealed interface Verdict {

        /** The request is turned away. */
        record Refused(Reason reason) implements Verdict {}

        /**
         * The request is for a service.
         *
         * @param idempotent whether it may run more than once
         * @param plan makes the call once the body is known
         */
        record Accepted(boolean idempotent, Plan plan) implements Verdict {}
    }

    /** Makes the engine's call of an accepted request. */
    interface Plan {

        /**
         * Makes the call.
         *
         * @param callId identity of the call
         * @param replayable whether the body can be sent more than once
         * @param fingerprint identity of the request's content
         * @param arrivedMicros when the request's head arrived, in microseconds
         */
        CallRequest call(long callId, boolean replayable, String fingerprint, long arrivedMicros);
    }

    /** Looks at a request's head. */
    Verdict judge(RequestHead head);

    /** Returns the limits for callers that are in force. */
    CallerLimits limits();

    /**
     * Notes the final answer of a request.
     *
     * @param requestId name of the request
     * @param reason why it was answered as it was
     * @param status HTTP status
     * @param elapsedMicros time from its arrival in microseconds
     */
    void onAnswered(String requestId, Reason reason, int status, long elapsedMicros);
}
