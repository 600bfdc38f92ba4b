package org.hyssophitch.core.call;

import org.hyssophitch.core.UnknownCaseException;
import org.hyssophitch.core.call.AttemptResult.LostCause;
import org.hyssophitch.core.call.AttemptResult.NotRunCause;
import org.hyssophitch.core.health.SuspectTracker.Verdict;
import org.hyssophitch.core.routing.ServerState;
import org.hyssophitch.core.timeline.EventBody;

/**
 * Draws conclusions from answers and ended attempts: server health, limits, suspicion, retries. Not thread-safe.
 */
final class AttemptObserver {

    private static final int FIRST_SERVER_ERROR = 500;

    private final EngineState state;
    private final CallFinisher finisher;
    private final AttemptStarter starter;

    AttemptObserver(EngineState state, CallFinisher finisher, AttemptStarter starter) {
        this.state = state;
        this.finisher = finisher;
        this.starter = starter;
    }

    /** Handles the beginning of an answer: relays it, or tries again in place of a server error. */
    void onAnswerStarted(CallEvent.AnswerStarted e) {
        ActiveCall call = state.calls().get(e.callId());
        ActiveCall.Attempt a = call == null ? null : call.attempt(e.attempt());
        if (a == null || call.isRelaying()) {
            return;
        }
        boolean isServerError = e.status() >= FIRST_SERVER_ERROR;
        noteAnswer(call, a, isServerError, e.nowMicros());
        if (isServerError && retryAfterServerError(call, a, e.status(), e.nowMicros())) {
            return;
        }
        call.setRelaying(a.number());
        call.service().queue().remove(call.waiting());
        call.setStatus(e.status());
        finisher.cancelAttempts(call, a.number(), e.nowMicros());
        state.emit(new CallAction.RelayAnswer(call.callId(), a.number()));
        starter.startWaiting(call.service(), e.nowMicros());
    }

    /** Handles the end of an attempt. */
    void onAttemptEnded(CallEvent.AttemptEnded e) {
        ActiveCall call = state.calls().get(e.callId());
        ActiveCall.Attempt a = call == null ? null : call.attempt(e.attempt());
        if (a == null) {
            return;
        }
        if (e.result() instanceof AttemptResult.Lost l && l.cause() == LostCause.CONNECTION_LOST) {
            state.crashes().onLost(a.server(), call.service(), e.nowMicros());
        }
        long elapsed = finisher.release(call, a, e.nowMicros());
        state.record(
                e.nowMicros(),
                call,
                new EventBody.AttemptEnded(
                        a.number(), a.server().name(), e.result().label(), elapsed));
        switch (e.result()) {
            case AttemptResult.Completed c -> finisher.complete(call, call.status(), e.nowMicros());
            case AttemptResult.NotRun n -> onNotRun(call, a, n, e.nowMicros());
            case AttemptResult.Lost l -> onLost(call, a, l, e.nowMicros());
        }
        starter.onFreed(call.service(), e.nowMicros());
    }

    private void noteAnswer(ActiveCall call, ActiveCall.Attempt a, boolean isServerError, long nowMicros) {
        ServerState server = a.server();
        double elapsed = nowMicros - a.startedMicros();
        if (isServerError) {
            noteFailure(call, server, nowMicros);
            return;
        }
        call.service().latency().add(elapsed);
        server.addServiceSample(elapsed / (1 + a.queueFactor()));
        server.limit().onAnswer(server.inFlight(), nowMicros);
        notePace(call, a, elapsed, nowMicros);
        server.setLastAnswerMicros(nowMicros);
        if (server.health().onSuccess()) {
            recordHealth(server, "ADMITTED", nowMicros);
        }
        if (state.suspects().clear(call.request().fingerprint())) {
            call.setSuspectRunning(false);
            recordVerdict(call, Verdict.CLEAR, 0, nowMicros);
        }
    }

    private static void notePace(ActiveCall call, ActiveCall.Attempt a, double elapsedMicros, long nowMicros) {
        long span = call.request().terms().spanMicros();
        if (span <= 0) {
            return;
        }
        double share = elapsedMicros / span;
        a.server().onLatencyRatio(share / (call.service().usualShare() * a.slowdown()), nowMicros);
        call.service().addShare(share / a.slowdown());
    }

    private boolean retryAfterServerError(ActiveCall call, ActiveCall.Attempt a, int status, long nowMicros) {
        boolean mayRetry = call.request().idempotent() && call.mayTryAgain();
        boolean hasOther =
                call.service().untried(call.tried()).stream().anyMatch(s -> s != a.server() && s.isEligible(nowMicros));
        if (!mayRetry || !hasOther || !tryRetry(call, nowMicros)) {
            return false;
        }
        call.onLoss(Reason.ANSWER_BROKEN);
        call.setKept(a.number(), status);
        finisher.release(call, a, nowMicros);
        finisher.cancelAttempts(call, 0, nowMicros);
        starter.startOrQueue(call, AttemptStarter.Cause.RETRY, nowMicros);
        return true;
    }

    private void onNotRun(ActiveCall call, ActiveCall.Attempt a, AttemptResult.NotRun result, long nowMicros) {
        switch (result.cause()) {
            case CONNECT_FAILED -> noteFailure(call, a.server(), nowMicros);
            case SHED -> noteShed(a.server(), nowMicros);
            case DRAINING -> a.server().health().onCancelled();
            case WRONG_INSTANCE -> a.server().setMisdirected();
            default -> throw new UnknownCaseException(result.cause());
        }
        Reason giveUp = call.mayHaveRun() ? call.lastLoss() : Reason.ATTEMPTS_REFUSED;
        boolean isUnsent = result.cause() == NotRunCause.CONNECT_FAILED;
        if (isUnsent) {
            call.onUnsent();
        }
        retryOrAnswer(call, giveUp, isUnsent, nowMicros);
    }

    private void onLost(ActiveCall call, ActiveCall.Attempt a, AttemptResult.Lost result, long nowMicros) {
        Reason reason = result.cause() == LostCause.ANSWER_BROKEN ? Reason.ANSWER_BROKEN : Reason.CONNECTION_LOST;
        call.onLoss(reason);
        boolean isServerSilent = a.server().lastAnswerMicros() < a.startedMicros();
        if (result.cause() != LostCause.STALLED || isServerSilent) {
            noteFailure(call, a.server(), nowMicros);
        } else {
            a.server().health().onCancelled();
        }
        if (call.relaying() == a.number()) {
            finisher.breakAnswer(call, reason, nowMicros);
            return;
        }
        retryOrAnswer(call, reason, false, nowMicros);
    }

    /**
     * Tries again or gives up.
     *
     * @param isFree whether the next attempt is the first that reaches a server, which no budget bounds
     */
    private void retryOrAnswer(ActiveCall call, Reason giveUp, boolean isFree, long nowMicros) {
        if (!call.attempts().isEmpty()) {
            return;
        }
        if (starter.verdict(call, nowMicros) == Verdict.CONVICTED) {
            recordVerdict(
                    call,
                    Verdict.CONVICTED,
                    state.suspects().score(call.request().fingerprint()),
                    nowMicros);
            finisher.answer(call, giveUp, nowMicros);
            return;
        }
        if (mayTryAgain(call) && (isFree || tryRetry(call, nowMicros))) {
            starter.startOrQueue(call, AttemptStarter.Cause.RETRY, nowMicros);
        } else {
            finisher.answer(call, giveUp, nowMicros);
        }
    }

    private boolean mayTryAgain(ActiveCall call) {
        return call.mayTryAgain() || !state.isOn(EngineFeature.SAFE_RETRIES) && call.hasAttemptsLeft();
    }

    private boolean tryRetry(ActiveCall call, long nowMicros) {
        return !state.isOn(EngineFeature.RETRY_BUDGET)
                || call.service().retries().tryWithdraw(nowMicros);
    }

    private void noteFailure(ActiveCall call, ServerState server, long nowMicros) {
        boolean mayEject =
                state.isOn(EngineFeature.OUTLIER_DETECTION) && call.service().mayEject(server, nowMicros);
        if (server.health().onFailure(mayEject, nowMicros)) {
            recordHealth(server, "EJECTED", nowMicros);
        }
    }

    private void noteShed(ServerState server, long nowMicros) {
        server.health().onCancelled();
        if (state.isOn(EngineFeature.ADAPTIVE_LIMIT)) {
            server.limit().onShed(server.inFlight() + 1, nowMicros);
        }
    }

    private void recordHealth(ServerState server, String health, long nowMicros) {
        state.recorder().record(nowMicros, "", new EventBody.ServerHealthChanged(server.name(), health));
    }

    private void recordVerdict(ActiveCall call, Verdict verdict, double score, long nowMicros) {
        state.record(
                nowMicros, call, new EventBody.RequestSuspected(call.request().fingerprint(), verdict.name(), score));
    }
}
