package org.hyssophitch.core.call;

import java.util.List;

import org.hyssophitch.core.UnknownCaseException;
import org.hyssophitch.core.atmostonce.Ticket;
import org.hyssophitch.core.timeline.EventBody;

/**
 * Ends calls: releases their resources, settles their tickets and emits the final answer. Not thread-safe; owned by
 * the call engine.
 */
final class CallFinisher {

    private static final long MIN_RETRY_AFTER_MILLIS = 50;
    private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;
    /** Minimum retry delay of calls that found no server capacity; random jitter spreads the retries. */
    private static final long NO_ROOM_RETRY_AFTER_MILLIS = 200;

    private static final long NO_ROOM_RETRY_JITTER_MILLIS = 500;
    /** Delay of a caller's return for each rank of priority below the highest. */
    private static final long RETURN_RANK_DELAY_MILLIS = 500;
    /** Highest priority number that delays the return of a caller further. */
    private static final int MAX_RETURN_RANK = 3;

    private static final int MIN_SERVER_ERROR_STATUS = 500;
    private static final long MICROS_PER_MILLI = 1_000;

    private final EngineState state;

    CallFinisher(EngineState state) {
        this.state = state;
    }

    /** Ends a call with an answer generated here, or with its fallback answer if it has one. */
    void answer(ActiveCall call, Reason reason, long nowMicros) {
        if (call.fallbackAttempt() > 0 && !call.isCallerGone()) {
            state.emit(new CallAction.RelayAnswer(call.callId(), call.fallbackAttempt()));
            complete(call, call.fallbackStatus(), nowMicros);
            return;
        }
        settleTicket(call, reason, 0);
        long retryAfter =
                switch (reason) {
                    case SERVERS_LIMITED, SERVERS_COLD -> limitedRetryAfterMillis(call, nowMicros);
                    case NO_ROOM -> noRoomRetryAfterMillis(call, nowMicros);
                    default -> retryAfterMillis(call.service(), reason);
                };
        state.emit(new CallAction.AnswerCaller(call.callId(), reason, retryAfter, ""));
        close(call, reason, nowMicros);
    }

    /** Ends a call that was not started, with a time in milliseconds after which to retry. */
    void refuse(ActiveCall call, Reason reason, long retryAfterMillis, long nowMicros) {
        settleTicket(call, reason, 0);
        state.emit(new CallAction.AnswerCaller(call.callId(), reason, retryAfterMillis, ""));
        close(call, reason, nowMicros);
    }

    /** Ends a call whose answer is the response of one of its attempts. */
    void complete(ActiveCall call, int status, long nowMicros) {
        settleTicket(call, Reason.ANSWERED, status);
        close(call, Reason.ANSWERED, nowMicros);
    }

    /** Ends a call whose response was lost while it was being relayed. */
    void abortAnswer(ActiveCall call, Reason reason, long nowMicros) {
        settleTicket(call, reason, 0);
        state.emit(new CallAction.AbortAnswer(call.callId(), reason));
        close(call, reason, nowMicros);
    }

    /** Cancels every attempt in flight except the given one. */
    void cancelAttempts(ActiveCall call, int except, long nowMicros) {
        List<ActiveCall.Attempt> cancelled =
                call.attempts().stream().filter(a -> a.number() != except).toList();
        cancelled.forEach(a -> cancel(call, a, nowMicros));
    }

    /** Releases the resources of an ended attempt; returns its duration in microseconds. */
    long release(ActiveCall call, ActiveCall.Attempt a, long nowMicros) {
        call.end(a.number());
        if (call.isBulk()) {
            state.addBulkInFlight(-1);
        }
        return a.server().onEnd(call.key(a.number()), nowMicros);
    }

    /** Returns the delay in milliseconds after which a caller should retry; 0 when a retry can't help. */
    static long retryAfterMillis(ServiceState service, Reason reason) {
        return switch (reason) {
            case QUEUE_FULL, DEADLINE_TOO_SHORT, DEADLINE_PASSED_WAITING, ATTEMPTS_REFUSED ->
                Math.max(MIN_RETRY_AFTER_MILLIS, service.estimatedWaitMicros() / MICROS_PER_MILLI);
            case NO_ROOM -> NO_ROOM_RETRY_AFTER_MILLIS;
            case HOST_STOPPING -> Reason.RETRY_ELSEWHERE_MILLIS;
            case NO_SERVER,
                    ZONES_EVACUATED,
                    SERVERS_UNREACHABLE,
                    NO_CONFIGURATION,
                    DEADLINE_PASSED,
                    CONNECTION_LOST,
                    ANSWER_BROKEN,
                    TICKET_RUNNING -> DEFAULT_RETRY_AFTER_MILLIS;
            default -> 0;
        };
    }

    /** Returns the time until a place is expected for a call of this rank, or a random one if too little is known. */
    private long noRoomRetryAfterMillis(ActiveCall call, long nowMicros) {
        ServiceContention contention = call.service().contention();
        boolean isKnown = state.usesWaitForecast() && contention.forecast().isReady(nowMicros);
        return isKnown
                ? Math.max(
                        MIN_RETRY_AFTER_MILLIS,
                        contention.returnDelayMicros(call, nowMicros, state.random()) / MICROS_PER_MILLI)
                : NO_ROOM_RETRY_AFTER_MILLIS + state.random().nextLong(NO_ROOM_RETRY_JITTER_MILLIS);
    }

    /**
     * Returns the time until a server of the service takes requests again. Callers of important calls return first, and
     * those of equal calls one after the other. Without a share of any limit, another host may have one at any time.
     */
    private long limitedRetryAfterMillis(ActiveCall call, long nowMicros) {
        long acceptsFrom = call.service().acceptsFromMicros(nowMicros);
        long base = acceptsFrom == Long.MAX_VALUE
                ? DEFAULT_RETRY_AFTER_MILLIS
                : Math.max(NO_ROOM_RETRY_AFTER_MILLIS, (acceptsFrom - nowMicros) / MICROS_PER_MILLI);
        int rank = Math.clamp(call.request().policy().returnRank(), 0, MAX_RETURN_RANK);
        return base + rank * RETURN_RANK_DELAY_MILLIS + state.random().nextLong(RETURN_RANK_DELAY_MILLIS);
    }

    private void cancel(ActiveCall call, ActiveCall.Attempt a, long nowMicros) {
        long elapsed = release(call, a, nowMicros);
        a.server().health().onCancelled();
        state.emit(new CallAction.CancelAttempt(call.callId(), a.number()));
        AttemptResult result = new AttemptResult.Lost(AttemptResult.LostCause.CANCELLED);
        state.record(
                nowMicros,
                call,
                new EventBody.AttemptEnded(a.number(), a.server().name(), result.label(), elapsed));
    }

    private void close(ActiveCall call, Reason reason, long nowMicros) {
        cancelAttempts(call, 0, nowMicros);
        call.service().queue().remove(call.queueEntry());
        endSuspectRun(call);
        QuotaGate.release(state, call, reason, nowMicros);
        state.calls().remove(call.callId());
        state.record(
                nowMicros,
                call,
                new EventBody.CallAnswered(
                        reason.outcome().wireName(),
                        reason.wireName(),
                        call.attemptsStarted(),
                        nowMicros - call.arrivedMicros()));
    }

    private void endSuspectRun(ActiveCall call) {
        if (call.isSuspectRunning()) {
            state.suspects().onEnd(call.request().fingerprint());
            call.setSuspectRunning(false);
        }
    }

    /** Settles a ticket by the response's status; a server error doesn't show whether the request ran. */
    private void settleAnswered(Ticket t, int status) {
        if (status >= MIN_SERVER_ERROR_STATUS) {
            state.tickets().onMayHaveRun(t);
        } else {
            state.tickets().onRun(t, status);
        }
    }

    private void settleTicket(ActiveCall call, Reason reason, int status) {
        call.request().ticket().ifPresent(t -> {
            switch (reason.outcome()) {
                case COMPLETED -> settleAnswered(t, status);
                case NOT_RUN -> state.tickets().onNotRun(t);
                case UNKNOWN -> state.tickets().onMayHaveRun(t);
                default -> throw new UnknownCaseException(reason.outcome());
            }
        });
    }
}
