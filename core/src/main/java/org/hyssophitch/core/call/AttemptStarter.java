package org.hyssophitch.core.call;

import java.util.List;
import java.util.Optional;

import org.hyssophitch.core.admission.CallQueue.QueuedCall;
import org.hyssophitch.core.health.SuspectTracker.Verdict;
import org.hyssophitch.core.routing.Choice;
import org.hyssophitch.core.routing.RoutingPolicy;
import org.hyssophitch.core.routing.ServerState;
import org.hyssophitch.core.timeline.EventBody;

/**
 * Starts attempts: chooses a backend server, hedges late ones and lets waiting calls go on. Not thread-safe.
 */
final class AttemptStarter {

    /** Why an attempt is started, as shown on the time line. */
    enum Cause {
        FIRST,
        RETRY,
        HEDGE
    }

    private static final long MICROS_PER_MILLI = 1_000;
    /** Part of a call's time to its target before which it gets no second attempt at the same time. */
    private static final double HEDGE_TARGET_SHARE = 0.5;

    private final EngineState state;
    private final CallFinisher finisher;
    private final LoadRounds rounds;
    private final SpeedChecks checks;

    AttemptStarter(EngineState state, CallFinisher finisher) {
        this.state = state;
        this.finisher = finisher;
        this.rounds = new LoadRounds(state, finisher, this);
        this.checks = new SpeedChecks(state, this);
    }

    /** Starts an attempt when a server has room; returns whether it did. */
    boolean tryStart(ActiveCall call, Cause cause, long nowMicros) {
        List<ServerState> candidates = call.service().untried(call.tried());
        Optional<Choice> choice = state.selector()
                .choose(
                        call.service().policy(),
                        candidates,
                        nowMicros,
                        state.recorder().isDetailed());
        return choice.isPresent() && startChosen(call, cause, choice.get(), nowMicros);
    }

    /** Starts an attempt at a chosen server unless bulk calls or a suspect request have to wait. */
    boolean startChosen(ActiveCall call, Cause cause, Choice choice, long nowMicros) {
        boolean isBulkFull =
                call.isBulk() && state.bulkInFlight() >= state.settings().maxBulkInFlight();
        if (isBulkFull || !claimSuspectRun(call, nowMicros)) {
            return false;
        }
        start(call, cause, choice, nowMicros);
        return true;
    }

    /** Returns the checks of servers that run attempts. */
    SpeedChecks checks() {
        return checks;
    }

    /** Returns the rounds in which servers are asked for their load. */
    LoadRounds rounds() {
        return rounds;
    }

    /** Starts an attempt, or lets the call wait, or gives up on it at once. */
    void startOrQueue(ActiveCall call, Cause cause, long nowMicros) {
        ServiceState service = call.service();
        if (isAsked(service)) {
            rounds.join(call, nowMicros);
            return;
        }
        if (!service.hasServer()) {
            finisher.answer(call, notRunReason(call, Reason.NO_SERVER), nowMicros);
            return;
        }
        boolean mustWaitInLine = cause == Cause.FIRST && service.queue().size() > 0;
        if (!mustWaitInLine && tryStart(call, cause, nowMicros)) {
            return;
        }
        enqueue(call, nowMicros);
    }

    /** Lets waiting calls go on after an attempt has ended. */
    void onFreed(ServiceState service, long nowMicros) {
        if (isAsked(service)) {
            rounds.onFreed(service, nowMicros);
        } else {
            startWaiting(service, nowMicros);
        }
    }

    /** Starts attempts of waiting calls while servers have room. */
    void startWaiting(ServiceState service, long nowMicros) {
        if (isAsked(service)) {
            rounds.advance(service, nowMicros);
            return;
        }
        boolean isProgress = true;
        while (isProgress && service.queue().size() > 0) {
            isProgress = startFirstWaiting(service, nowMicros);
        }
    }

    /** Starts a second attempt of a late call when rules and budget allow it. */
    void hedge(ActiveCall call, int lateAttempt, long nowMicros) {
        boolean isLate = call.attempt(lateAttempt) != null && call.attempts().size() == 1;
        boolean isAllowed = state.isOn(EngineFeature.HEDGING)
                && isLate
                && call.mayTryAgain()
                && call.request().idempotent();
        boolean isCrowded = isAsked(call.service()) && call.service().queue().size() > 0;
        if (!isAllowed || isCrowded || verdict(call, nowMicros) != Verdict.CLEAR) {
            return;
        }
        if (!call.service().hedges().tryWithdraw(nowMicros)) {
            return;
        }
        if (isAsked(call.service())) {
            rounds.join(call, nowMicros);
        } else {
            tryStart(call, Cause.HEDGE, nowMicros);
        }
    }

    private boolean startFirstWaiting(ServiceState service, long nowMicros) {
        Optional<QueuedCall> first = service.queue().poll();
        ActiveCall call = first.map(w -> state.calls().get(w.callId())).orElse(null);
        if (call == null) {
            return first.isPresent();
        }
        Cause cause = call.attemptsStarted() == 0 ? Cause.FIRST : Cause.RETRY;
        if (tryStart(call, cause, nowMicros)) {
            return true;
        }
        service.queue().offer(first.get());
        return false;
    }

    private void enqueue(ActiveCall call, long nowMicros) {
        ServiceState service = call.service();
        boolean isTooLate =
                nowMicros + service.estimatedWaitMicros() > call.request().deadlineMicros();
        if (isTooLate && state.isOn(EngineFeature.EARLY_REFUSAL)) {
            finisher.answer(call, notRunReason(call, Reason.DEADLINE_TOO_SHORT), nowMicros);
        } else if (service.queue().offer(call.waiting())) {
            state.recordQueued(call, nowMicros);
        } else {
            finisher.answer(call, notRunReason(call, Reason.QUEUE_FULL), nowMicros);
        }
    }

    /** Returns whether the service's servers are asked for their load when a call arrives. */
    static boolean isAsked(ServiceState service) {
        return service.policy() instanceof RoutingPolicy.AskedLoad;
    }

    /** Returns why a call gets no further attempt: the reason given unless an earlier attempt may have run. */
    static Reason notRunReason(ActiveCall call, Reason reason) {
        return call.mayHaveRun() ? call.lastLoss() : reason;
    }

    private void start(ActiveCall call, Cause cause, Choice choice, long nowMicros) {
        ServerState server = choice.server();
        int present = server.inFlight() + Math.max(0, server.othersAtReport());
        int slots = Math.max(1, server.server().slots());
        double queueFactor = Math.max(0.0, present + 1 - slots) / slots;
        ActiveCall.Attempt a = call.start(server, nowMicros, queueFactor);
        if (call.isBulk()) {
            state.addBulkInFlight(1);
        }
        state.record(
                nowMicros,
                call,
                new EventBody.ServerChosen(
                        call.request().service(), a.number(), cause.name(), server.name(), choice.candidates()));
        emitStart(call, a);
        scheduleHedge(call, a, nowMicros);
    }

    private void emitStart(ActiveCall call, ActiveCall.Attempt a) {
        boolean mayRetryBelow =
                !state.isOn(EngineFeature.RETRY_BUDGET) || call.request().mayRetry() && a.number() == 1;
        state.emit(new CallAction.StartAttempt(
                call.callId(),
                a.number(),
                a.server().server(),
                call.request().deadlineMicros(),
                call.service().service().queue().stallMillis(),
                mayRetryBelow));
    }

    private void scheduleHedge(ActiveCall call, ActiveCall.Attempt a, long nowMicros) {
        boolean isHedged = call.service().service().retry().hedgeRatio() > 0
                && call.request().idempotent();
        if (!isHedged || a.number() > 1) {
            return;
        }
        checks.schedule(call, a, nowMicros);
        int fixedMillis = call.service().service().retry().hedgeAfterMillis();
        long after = fixedMillis > 0 ? fixedMillis * MICROS_PER_MILLI : hedgeMicros(call);
        state.timers()
                .add(new EngineState.Timer(nowMicros + after, call.callId(), a.number(), EngineState.TimerKind.HEDGE));
    }

    /** A call that is still well within its target gets no second attempt, as both would take room from other calls. */
    private static long hedgeMicros(ActiveCall call) {
        long span = call.request().terms().spanMicros();
        return span == 0 ? call.service().latency().lateMicros() : (long) (span * HEDGE_TARGET_SHARE);
    }

    /** Returns what may be done with a call's request. */
    Verdict verdict(ActiveCall call, long nowMicros) {
        if (!state.isOn(EngineFeature.SUSPECT_ISOLATION)) {
            return Verdict.CLEAR;
        }
        return state.suspects().verdict(call.request().fingerprint(), nowMicros);
    }

    private boolean claimSuspectRun(ActiveCall call, long nowMicros) {
        if (verdict(call, nowMicros) == Verdict.CLEAR) {
            return true;
        }
        if (call.isSuspectRunning()) {
            return call.attempts().isEmpty();
        }
        boolean isClaimed = state.suspects().tryStart(call.request().fingerprint());
        call.setSuspectRunning(isClaimed);
        return isClaimed;
    }
}
