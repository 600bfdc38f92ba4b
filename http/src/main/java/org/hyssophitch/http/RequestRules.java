package org.hyssophitch.http;

import io.netty.handler.codec.http.HttpHeaders;
import org.hyssophitch.core.call.CallRequest;
import org.hyssophitch.core.call.Reason;
import org.hyssophitch.core.configuration.CallerLimits;
import org.hyssophitch.wire.net.HttpReply;

/**
 * Decides what a caller's request is before the engine gets it. Implementations live on the event loop.
 */
public interface RequestRules {

    /**
     * What is known of a request once its head is there. Immutable.
     *
     * @param host host name without a port
     * @param target path and query
     * @param requestId name of the request; empty without one
     * @param method method of the request
     * @param headers all headers
     */
    record RequestHead(String host, String target, String requestId, String method, HttpHeaders headers) {

        /** Returns the path without the query. */
        public String path() {
            return RequestTarget.path(target);
        }
    }

    /** Result of looking at a request's head. */
    sealed interface Verdict {

        /**
         * The request is turned away.
         *
         * @param reason why
         * @param detail what is wrong with the request; may be empty
         */
        record Refused(Reason reason, String detail) implements Verdict {}

        /** The request is for this process itself. */
        record Answered(HttpReply reply) implements Verdict {}

        /**
         * The request is for a service.
         *
         * @param idempotent whether it may run more than once
         * @param target path and query to send to the backend server
         * @param callFactory makes the call once the body is known
         */
        record Accepted(boolean idempotent, String target, CallFactory callFactory) implements Verdict {}
    }

    /** Makes the engine's call of an accepted request. */
    interface CallFactory {

        /**
         * Makes the call.
         *
         * @param callId identity of the call
         * @param replayable whether the body can be sent more than once
         * @param fingerprint identity of the request's content
         * @param arrivedMicros when the request's head arrived, in microseconds
         */
        CallRequest create(long callId, boolean replayable, String fingerprint, long arrivedMicros);
    }

    /** Looks at a request's head. */
    Verdict evaluate(RequestHead head);

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
