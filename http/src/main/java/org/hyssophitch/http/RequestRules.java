package org.hyssophitch.http;

import io.netty.handler.codec.http.HttpHeaders;
import org.hyssophitch.core.call.CallRequest;
import org.hyssophitch.core.call.Reason;
import org.hyssophitch.core.configuration.CallerLimits;
import org.hyssophitch.core.timeline.EventBody;
import org.hyssophitch.wire.net.HttpReply;

/**
 * Decides from a request's head whether to reject it, to answer it locally or to pass it to the call engine.
 * Implementations are confined to one event loop.
 */
public interface RequestRules {

    /**
     * Head of a request. Immutable.
     *
     * @param host host name without a port
     * @param target path and query
     * @param requestId id of the request; may be empty
     * @param method HTTP method
     * @param headers all headers
     */
    record RequestHead(String host, String target, String requestId, String method, HttpHeaders headers) {

        /** Returns the path without the query. */
        public String path() {
            return RequestTarget.path(target);
        }
    }

    /** Result of evaluating a request's head. */
    sealed interface Verdict {

        /**
         * The request is rejected.
         *
         * @param reason why the request is rejected
         * @param detail what is wrong with the request; may be empty
         */
        record Refused(Reason reason, String detail) implements Verdict {}

        /** The request is for this process itself, which answers it locally. */
        record Answered(HttpReply reply) implements Verdict {}

        /**
         * The request is for a service.
         *
         * @param idempotent whether the request may be run more than once
         * @param target path and query to send to the backend server
         * @param team name of the caller's team; empty without one
         * @param callFactory creates the call once the body is complete or too large to be buffered
         */
        record Accepted(boolean idempotent, String target, String team, CallFactory callFactory) implements Verdict {}
    }

    /** Creates the call of an accepted request for the engine. */
    interface CallFactory {

        /**
         * Creates the call.
         *
         * @param callId id of the call
         * @param replayable whether the body can be sent more than once
         * @param fingerprint method, target and checksum of the buffered body, which identify the request's content
         * @param arrivedMicros time in microseconds when the request's head was received
         */
        CallRequest create(long callId, boolean replayable, String fingerprint, long arrivedMicros);
    }

    /** Evaluates a request's head. */
    Verdict evaluate(RequestHead head);

    /** Returns the limits for callers that are currently in force. */
    CallerLimits limits();

    /**
     * Records the final response to a request.
     *
     * @param requestId id of the request
     * @param team name of the caller's team; empty if it is unknown
     * @param reason why the request got this response
     * @param status HTTP status
     * @param elapsedMicros time in microseconds since the request was received
     */
    void onAnswered(String requestId, String team, Reason reason, int status, long elapsedMicros);

    /**
     * Records what became of a request at a host that stops.
     *
     * @param requestId id of the request
     * @param request what became of it
     */
    void onStopped(String requestId, EventBody.RequestAtStop request);
}
