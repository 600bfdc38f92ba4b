package org.hyssophitch.core.call;

import java.util.List;

import org.hyssophitch.core.UnknownCaseException;
import org.hyssophitch.core.atmostonce.Ticket;
import org.hyssophitch.core.timeline.EventBody;

/**
 * Ends calls: frees what they hold, settles their tickets and emits the final answer. Not thread-safe.
 */
final class CallFinisher {

    private static final long MIN_RETRY_AFTER_MILLIS = 50;
    private static final long SHORT_RETRY_AFTER_MILLIS = 1_000;
    /** Bounds in milliseconds of when callers return whose calls found no room; drawn, so that they spread. */
    private static final long ROOM_RETRY_AFTER_MILLIS = 200;

    private static final long ROOM_RETRY_SPREAD_MILLIS = 500;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final long MICROS_PER_MILLI = 1_000;

    private final EngineState state;

    CallFinisher(EngineState state) {
        this.state = state;
    }

    /** Gives the call the system's own final answer. */
    void answer(ActiveCall call, Reason reason, long nowMicros) {
        if (call.fallbackAttempt() > 0 && !call.isCallerGone()) {
            state.emit(new CallAction.RelayAnswer(call.callId(), call.fallbackAttempt()));
            complete(call, call.fallbackStatus(), nowMicros);
            return;
        }
        settleTicket(call, reason, 0);
        long retryAfter = retryAfterMillis(call.service(), reason);
        if (reason == Reason.NO_ROOM) {
            retryAfter += state.random().nextLong(ROOM_RETRY_SPREAD_MILLIS);
        }
        state.emit(new CallAction.AnswerCaller(call.callId(), reason, retryAfter, ""));
        close(call, reason, nowMicros);
    }

    /** Ends a call whose whole answer was relayed. */
    void complete(ActiveCall call, int status, long nowMicros) {
        settleTicket(call, Reason.ANSWERED, status);
        close(call, Reason.ANSWERED, nowMicros);
    }

    /** Ends a call whose answer broke after it had begun. */
    void breakAnswer(ActiveCall call, Reason reason, long nowMicros) {
        settleTicket(call, reason, 0);
        state.emit(new CallAction.AbortAnswer(call.callId(), reason));
        close(call, reason, nowMicros);
    }

    /** Cancels every attempt in flight but the one given. */
    void cancelAttempts(ActiveCall call, int except, long nowMicros) {
        List<ActiveCall.Attempt> cancelled =
                call.attempts().stream().filter(a -> a.number() != except).toList();
        cancelled.forEach(a -> cancel(call, a, nowMicros));
    }

    /** Frees what an ended attempt held; returns the time in microseconds that it took. */
    long release(ActiveCall call, ActiveCall.Attempt a, long nowMicros) {
        call.end(a.number());
        if (call.isBulk()) {
            state.addBulkInFlight(-1);
        }
        return a.server().onEnd(call.key(a.number()), nowMicros);
    }

    /** Returns when a caller should come back, in milliseconds; 0 when coming back is of no use. */
    static long retryAfterMillis(ServiceState service, Reason reason) {
        return switch (reason) {
            case QUEUE_FULL, DEADLINE_TOO_SHORT, DEADLINE_PASSED_WAITING, ATTEMPTS_REFUSED ->
                Math.max(MIN_RETRY_AFTER_MILLIS, service.estimatedWaitMicros() / MICROS_PER_MILLI);
            case NO_ROOM -> ROOM_RETRY_AFTER_MILLIS;
            case NO_SERVER, NO_CONFIGURATION, DEADLINE_PASSED, CONNECTION_LOST, ANSWER_BROKEN, TICKET_RUNNING ->
                SHORT_RETRY_AFTER_MILLIS;
            default -> 0;
        };
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
        call.service().queue().remove(call.waiting());
        endSuspectRun(call);
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

    /** A server's own error doesn't tell whether the request ran. */
    private void settleAnswered(Ticket t, int status) {
        if (status >= FIRST_SERVER_ERROR) {
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
