package org.hyssophitch.core.call;

import java.util.Optional;

import org.hyssophitch.core.atmostonce.Ticket;

/**
 * What the engine has to know of one call. Immutable.
 *
 * @param callId identity of the call within the entry host
 * @param requestId name of the request, from the caller or made up by the proxy
 * @param service service that is called
 * @param idempotent whether the request may run more than once
 * @param ticket ticket of a non-idempotent request
 * @param deadlineMicros time by which the caller needs its answer; {@link #NO_DEADLINE} for the service's default
 * @param depth number of calls above this one in the chain
 * @param mayRetry whether no call above this one is a retry already
 * @param replayable whether the request's body can be sent more than once
 * @param fingerprint identity of the request's content, shared by repetitions of the same request
 * @param policy what the call's route grants to it
 */
public record CallRequest(
        long callId,
        String requestId,
        String service,
        boolean idempotent,
        Optional<Ticket> ticket,
        long deadlineMicros,
        int depth,
        boolean mayRetry,
        boolean replayable,
        String fingerprint,
        CallPolicy policy) {

    /** Deadline of a call that names none. */
    public static final long NO_DEADLINE = Long.MAX_VALUE;

    /** Creates a request that no route matched, because its caller names the service. */
    public CallRequest(
            long callId,
            String requestId,
            String service,
            boolean idempotent,
            Optional<Ticket> ticket,
            long deadlineMicros,
            int depth,
            boolean mayRetry,
            boolean replayable,
            String fingerprint) {
        this(
                callId,
                requestId,
                service,
                idempotent,
                ticket,
                deadlineMicros,
                depth,
                mayRetry,
                replayable,
                fingerprint,
                CallPolicy.NONE);
    }

    /** Returns this request as its caller wants it treated beyond what its route says. */
    public CallRequest withCaller(boolean isIdempotent, Optional<Ticket> newTicket, int newDepth, boolean newMayRetry) {
        return new CallRequest(
                callId,
                requestId,
                service,
                isIdempotent,
                newTicket,
                deadlineMicros,
                newDepth,
                newMayRetry,
                replayable,
                fingerprint,
                policy);
    }

    /** Returns this request with the deadline given, or this instance when nothing changes. */
    public CallRequest withDeadlineMicros(long value) {
        return value == deadlineMicros
                ? this
                : new CallRequest(
                        callId,
                        requestId,
                        service,
                        idempotent,
                        ticket,
                        value,
                        depth,
                        mayRetry,
                        replayable,
                        fingerprint,
                        policy);
    }
}
