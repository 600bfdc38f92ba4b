package org.hyssophitch.core.call;

import org.hyssophitch.core.UnknownCaseException;
import org.hyssophitch.core.call.AttemptResult.LostCause;
import org.hyssophitch.core.call.AttemptResult.NotRunCause;
import org.hyssophitch.core.health.Clearance;
import org.hyssophitch.core.health.SuspectTracker.Verdict;
import org.hyssophitch.core.routing.ServerState;
import org.hyssophitch.core.timeline.EventBody;

/**
 * Processes responses and ended attempts: updates server health, concurrency limits and crash suspicion, and retries
 * or ends the call. Not thread-safe; owned by the call engine.
 */
final class AttemptObserver {

    private static final int MIN_SERVER_ERROR_STATUS = 500;
    /** Status by which an entry host says that it hasn't run a request; it never relays a server's own one. */
    private static final int UNAVAILABLE = 503;

    private final EngineState state;
    private final CallFinisher finisher;
    private final AttemptStarter starter;

    AttemptObserver(EngineState state, CallFinisher finisher, AttemptStarter starter) {
        this.state = state;
        this.finisher = finisher;
        this.starter = starter;
    }

    /** Handles the start of a response: relays it, or retries the call instead of relaying a server error. */
    void onAnswerStarted(CallEvent.AnswerStarted e) {
        ActiveCall call = state.calls().get(e.callId());
        ActiveCall.Attempt a = call == null ? null : call.attempt(e.attempt());
        if (a == null || call.isRelaying()) {
            return;
        }
        boolean isServerError = e.status() >= MIN_SERVER_ERROR_STATUS;
        if (a.server().isEntryHost() && e.status() == UNAVAILABLE && mayRunElsewhere(call)) {
            dropRefusal(call, a, e.nowMicros());
            return;
        }
        if (!a.server().isEntryHost()) {
            onAnswer(call, a, isServerError, e.nowMicros());
            if (isServerError && retryAfterServerError(call, a, e.status(), e.nowMicros())) {
                return;
            }
        }
        call.setRelayingAttempt(a.number());
        call.service().queue().remove(call.queueEntry());
        call.setStatus(e.status());
        finisher.cancelAttempts(call, a.number(), e.nowMicros());
        state.emit(new CallAction.RelayAnswer(call.callId(), a.number()));
        starter.startQueued(call.service(), e.nowMicros());
    }

    /** Records an answer that was not taken as the whole answer to a request. */
    void onAnswerRejected(CallEvent.AnswerRejected e) {
        String part = e.part().map(AnswerPart::name).orElse("");
        EventBody body =
                new EventBody.AnswerRejected(e.server(), e.fault().name(), part, e.bytes(), e.earlierRequests());
        state.recorder().record(e.nowMicros(), e.requestId(), body);
    }

    /** Records an answer whose body held the head of another answer. */
    void onEmbeddedHead(CallEvent.EmbeddedHeadFound e) {
        EventBody body = new EventBody.EmbeddedHeadFound(
                e.server(), e.framing().name(), e.verdict().name());
        state.recorder().record(e.nowMicros(), e.requestId(), body);
    }

    /** Handles the end of an attempt. */
    void onAttemptEnded(CallEvent.AttemptEnded e) {
        ActiveCall call = state.calls().get(e.callId());
        ActiveCall.Attempt a = call == null ? null : call.attempt(e.attempt());
        if (a == null) {
            dropBrokenFallback(call, e);
            return;
        }
        if (!a.server().isEntryHost()) {
            observeServer(call, a.server(), e);
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
        starter.onAttemptReleased(call.service(), e.nowMicros());
    }

    /** Gives up a fallback answer whose attempt was lost while it was kept, as its end will never come. */
    private static void dropBrokenFallback(ActiveCall call, CallEvent.AttemptEnded e) {
        boolean isLost = e.result() instanceof AttemptResult.Lost;
        if (call != null && isLost && call.fallbackAttempt() == e.attempt()) {
            call.dropFallback();
        }
    }

    private static boolean mayRunElsewhere(ActiveCall call) {
        return call.mayHaveRun() || call.attempts().size() > 1;
    }

    /** Drops the refusal of another entry host: it can't tell the caller that no attempt has run the request. */
    private void dropRefusal(ActiveCall call, ActiveCall.Attempt a, long nowMicros) {
        finisher.release(call, a, nowMicros);
        state.emit(new CallAction.CancelAttempt(call.callId(), a.number()));
        retryOrAnswer(call, call.lastLoss(), false, nowMicros);
    }

    private void observeServer(ActiveCall call, ServerState server, CallEvent.AttemptEnded e) {
        state.cutOffDetector().onAttemptEnded(server, e.result(), e.nowMicros());
        if (e.result() instanceof AttemptResult.Lost l && l.cause() == LostCause.CONNECTION_LOST) {
            state.crashDetector().onLost(server, call.service(), e.nowMicros());
        }
    }

    private void onAnswer(ActiveCall call, ActiveCall.Attempt a, boolean isServerError, long nowMicros) {
        ServerState server = a.server();
        double elapsed = nowMicros - a.startedMicros();
        if (isServerError) {
            recordFailure(call, server, nowMicros);
            return;
        }
        call.service().latency().add(elapsed);
        server.addServiceSample(elapsed / (1 + a.queueFactor()));
        server.limit().onAnswer(server.inFlight(), nowMicros);
        recordRelativeLatency(call, a, elapsed, nowMicros);
        server.setLastAnswerMicros(nowMicros);
        if (server.health().onSuccess()) {
            recordHealth(server, "ADMITTED", nowMicros);
        }
        if (state.suspects().clear(call.request().fingerprint())) {
            call.setSuspectRunning(false);
            recordVerdict(call, Verdict.CLEAR, 0, nowMicros);
            state.emit(
                    new CallAction.ShareClearance(new Clearance(call.request().fingerprint(), nowMicros)));
        }
    }

    private static void recordRelativeLatency(
            ActiveCall call, ActiveCall.Attempt a, double elapsedMicros, long nowMicros) {
        long targetLatency = call.request().policy().targetLatencyMicros();
        if (targetLatency <= 0) {
            return;
        }
        double share = elapsedMicros / targetLatency;
        a.server().onLatencyRatio(share / (call.service().typicalLatencyShare() * a.slowdown()), nowMicros);
        call.service().addLatencyShare(share / a.slowdown());
    }

    private boolean retryAfterServerError(ActiveCall call, ActiveCall.Attempt a, int status, long nowMicros) {
        boolean mayRetry = call.request().idempotent() && call.mayTryAgain();
        boolean hasOther =
                call.service().untried(call.tried()).stream().anyMatch(s -> s != a.server() && s.isEligible(nowMicros));
        if (!mayRetry || !hasOther || !tryRetry(call, nowMicros)) {
            return false;
        }
        call.onLoss(Reason.ANSWER_BROKEN);
        call.setFallback(a.number(), status);
        finisher.release(call, a, nowMicros);
        finisher.cancelAttempts(call, 0, nowMicros);
        starter.startOrQueue(call, AttemptStarter.Cause.RETRY, nowMicros);
        return true;
    }

    private void onNotRun(ActiveCall call, ActiveCall.Attempt a, AttemptResult.NotRun result, long nowMicros) {
        switch (result.cause()) {
            case CONNECT_FAILED -> recordFailure(call, a.server(), nowMicros);
            case SHED -> recordShed(a.server(), nowMicros);
            case DRAINING, KEY_REMOVED -> a.server().health().onCancelled();
            case WRONG_INSTANCE -> a.server().setMisdirected();
            default -> throw new UnknownCaseException(result.cause());
        }
        Reason failureReason =
                AttemptStarter.notRunReason(call, call.isKeyRemoved() ? Reason.UNKNOWN_KEY : Reason.ATTEMPTS_REFUSED);
        boolean isUnsent =
                result.cause() == NotRunCause.CONNECT_FAILED || a.server().isEntryHost();
        if (isUnsent) {
            call.onUnsent();
        }
        retryOrAnswer(call, failureReason, isUnsent, nowMicros);
    }

    private void onLost(ActiveCall call, ActiveCall.Attempt a, AttemptResult.Lost result, long nowMicros) {
        Reason reason = result.cause() == LostCause.ANSWER_BROKEN ? Reason.ANSWER_BROKEN : Reason.CONNECTION_LOST;
        call.onLoss(reason);
        if (a.server().isEntryHost()) {
            call.onForwardLost();
        }
        boolean isServerSilent = a.server().lastAnswerMicros() < a.startedMicros();
        if (result.cause() != LostCause.STALLED || isServerSilent) {
            recordFailure(call, a.server(), nowMicros);
        } else {
            a.server().health().onCancelled();
        }
        if (call.relayingAttempt() == a.number()) {
            finisher.abortAnswer(call, reason, nowMicros);
            return;
        }
        retryOrAnswer(call, reason, false, nowMicros);
    }

    /**
     * Retries the call or gives it its final answer.
     *
     * @param failureReason reason of the final answer when the call isn't retried
     * @param isBudgetExempt whether the retry needs no budget, because the ended attempt reached no server
     */
    private void retryOrAnswer(ActiveCall call, Reason failureReason, boolean isBudgetExempt, long nowMicros) {
        if (!call.attempts().isEmpty()) {
            return;
        }
        if (starter.verdict(call, nowMicros) == Verdict.CONVICTED) {
            recordVerdict(
                    call,
                    Verdict.CONVICTED,
                    state.suspects().score(call.request().fingerprint()),
                    nowMicros);
            finisher.answer(call, failureReason, nowMicros);
            return;
        }
        if (mayTryAgain(call) && (isBudgetExempt || tryRetry(call, nowMicros))) {
            starter.startOrQueue(call, AttemptStarter.Cause.RETRY, nowMicros);
        } else {
            finisher.answer(call, failureReason, nowMicros);
        }
    }

    private boolean mayTryAgain(ActiveCall call) {
        return call.mayTryAgain() || !state.isOn(EngineFeature.SAFE_RETRIES) && call.hasAttemptsLeft();
    }

    private boolean tryRetry(ActiveCall call, long nowMicros) {
        return !state.isOn(EngineFeature.RETRY_BUDGET)
                || call.service().retryBudget().tryWithdraw(nowMicros);
    }

    private void recordFailure(ActiveCall call, ServerState server, long nowMicros) {
        boolean mayEject =
                state.isOn(EngineFeature.OUTLIER_DETECTION) && call.service().mayEject(server, nowMicros);
        if (server.health().onFailure(mayEject, nowMicros)) {
            recordHealth(server, "EJECTED", nowMicros);
        }
    }

    private void recordShed(ServerState server, long nowMicros) {
        server.health().onCancelled();
        if (server.isEntryHost()) {
            server.setRefusing(nowMicros);
            return;
        }
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
