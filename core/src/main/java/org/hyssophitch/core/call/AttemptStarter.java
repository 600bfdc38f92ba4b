package org.hyssophitch.core.call;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import org.hyssophitch.core.admission.CallQueue.QueuedCall;
import org.hyssophitch.core.health.SuspectTracker.Verdict;
import org.hyssophitch.core.routing.Choice;
import org.hyssophitch.core.routing.RoutingPolicy;
import org.hyssophitch.core.routing.ServerState;
import org.hyssophitch.core.timeline.EventBody;

/**
 * Starts attempts: chooses a backend server for each, hedges slow calls and dispatches queued ones. Not thread-safe;
 * owned by the call engine.
 */
final class AttemptStarter {

    /** Why an attempt is started, as recorded in the timeline. */
    enum Cause {
        FIRST,
        RETRY,
        HEDGE,
        /** Passed on to another entry host. */
        FORWARD
    }

    private static final long MICROS_PER_MILLI = 1_000;
    /** Hedge delay of a call with a target latency, as a fraction of that latency. */
    private static final double HEDGE_DELAY_FRACTION = 0.5;

    private final EngineState state;
    private final CallFinisher finisher;
    private final ProbingDispatcher dispatcher;
    private final SlowdownDetector slowdownDetector;

    AttemptStarter(EngineState state, CallFinisher finisher) {
        this.state = state;
        this.finisher = finisher;
        this.dispatcher = new ProbingDispatcher(state, finisher, this);
        this.slowdownDetector = new SlowdownDetector(state, this);
    }

    /** Starts an attempt if a server has capacity; returns whether it did. */
    boolean tryStart(ActiveCall call, Cause cause, long nowMicros) {
        List<ServerState> candidates = call.service().untried(call.tried());
        Optional<Choice> choice = state.selector()
                .choose(
                        call.service().routingPolicy(),
                        candidates,
                        nowMicros,
                        state.recorder().isDetailed());
        return choice.isPresent() && startChosen(call, cause, choice.get(), nowMicros);
    }

    /** Starts an attempt at the chosen server unless the bulk limit or the isolation of suspect requests forbids it. */
    boolean startChosen(ActiveCall call, Cause cause, Choice choice, long nowMicros) {
        boolean isBulkLimitReached =
                call.isBulk() && state.bulkInFlight() >= state.settings().maxBulkInFlight();
        if (isBulkLimitReached || call.isKeyRemoved() || !acquireSuspectRun(call, nowMicros)) {
            return false;
        }
        start(call, cause, choice, nowMicros);
        return true;
    }

    SlowdownDetector slowdownDetector() {
        return slowdownDetector;
    }

    /** Returns the dispatcher of calls whose service uses load probes. */
    ProbingDispatcher dispatcher() {
        return dispatcher;
    }

    /** Passes a call on to another entry host if this one is cut off and a host can take it; returns whether it did. */
    boolean tryForward(ActiveCall call, long nowMicros) {
        Optional<ServerState> host = state.forwarder().choose(call, nowMicros);
        if (host.isEmpty() || !acquireSuspectRun(call, nowMicros)) {
            return false;
        }
        int attempts = call.attemptsLeft();
        ActiveCall.Attempt a = startAttempt(call, Cause.FORWARD, new Choice(host.get(), List.of()), 0, nowMicros);
        emitStart(call, a, attempts);
        return true;
    }

    /** Passes a call on as {@link #tryForward} does, in addition to its running attempt and if the budget allows it. */
    void tryForwardHedge(ActiveCall call, long nowMicros) {
        boolean isToServer = call.attempts().stream().noneMatch(a -> a.server().isEntryHost());
        boolean isPossible =
                isToServer && state.forwarder().choose(call, nowMicros).isPresent();
        if (isPossible && call.service().hedgeBudget().tryWithdraw(nowMicros)) {
            tryForward(call, nowMicros);
        }
    }

    /** Starts an attempt, queues the call, or rejects it immediately. */
    void startOrQueue(ActiveCall call, Cause cause, long nowMicros) {
        ServiceState service = call.service();
        if (usesLoadProbes(service)) {
            dispatcher.enqueue(call, nowMicros);
            return;
        }
        if (!service.hasServer()) {
            finisher.answer(call, notRunReason(call, service.noServerReason()), nowMicros);
            return;
        }
        boolean mustQueue = cause == Cause.FIRST && service.queue().size() > 0;
        if (!mustQueue && tryStart(call, cause, nowMicros)) {
            return;
        }
        enqueue(call, nowMicros);
    }

    /** Dispatches queued calls after an attempt has ended and freed capacity. */
    void onAttemptReleased(ServiceState service, long nowMicros) {
        if (usesLoadProbes(service)) {
            dispatcher.onAttemptReleased(service, nowMicros);
        } else {
            startQueued(service, nowMicros);
        }
    }

    /** Starts attempts of queued calls while servers have capacity. */
    void startQueued(ServiceState service, long nowMicros) {
        if (usesLoadProbes(service)) {
            dispatcher.advance(service, nowMicros);
            return;
        }
        boolean isProgress = true;
        while (isProgress && service.queue().size() > 0) {
            isProgress = startNextQueued(service, nowMicros);
        }
    }

    /** Hedges a slow call with a second attempt if the retry rules and the hedge budget allow it. */
    void hedge(ActiveCall call, int lateAttempt, long nowMicros) {
        boolean isLate = call.attempt(lateAttempt) != null && call.attempts().size() == 1;
        boolean isAllowed = state.isOn(EngineFeature.HEDGING)
                && isLate
                && call.mayTryAgain()
                && call.request().idempotent();
        boolean hasQueuedCalls =
                usesLoadProbes(call.service()) && call.service().queue().size() > 0;
        if (!isAllowed || hasQueuedCalls || verdict(call, nowMicros) != Verdict.CLEAR) {
            return;
        }
        if (!call.service().hedgeBudget().tryWithdraw(nowMicros)) {
            return;
        }
        if (usesLoadProbes(call.service())) {
            dispatcher.enqueue(call, nowMicros);
        } else {
            tryStart(call, Cause.HEDGE, nowMicros);
        }
    }

    private boolean startNextQueued(ServiceState service, long nowMicros) {
        Optional<QueuedCall> first = pollQueued(service);
        ActiveCall call = first.map(w -> state.calls().get(w.callId())).orElse(null);
        if (call == null) {
            return first.isPresent();
        }
        Cause cause = call.attemptsStarted() == 0 ? Cause.FIRST : Cause.RETRY;
        if (tryStart(call, cause, nowMicros)) {
            service.contention().order().onPlaced(first.get(), state.teamWeights());
            return true;
        }
        service.queue().offer(first.get());
        return false;
    }

    /** Removes and returns the first call in the fair order. */
    private Optional<QueuedCall> pollQueued(ServiceState service) {
        if (!state.teamWeights().hasTeams()) {
            return service.queue().poll();
        }
        List<QueuedCall> ordered =
                service.contention().order().order(service.queue().waiting(), Function.identity(), state.teamWeights());
        ordered.stream().findFirst().ifPresent(service.queue()::remove);
        return ordered.stream().findFirst();
    }

    private void enqueue(ActiveCall call, long nowMicros) {
        ServiceState service = call.service();
        long acceptsFrom = service.acceptsFromMicros(nowMicros);
        if (acceptsFrom > call.request().deadlineMicros()) {
            finisher.answer(call, notRunReason(call, service.limitedReason(nowMicros)), nowMicros);
            return;
        }
        if (acceptsFrom > nowMicros) {
            state.timers().add(new EngineState.Timer(acceptsFrom, 0, 0, EngineState.TimerKind.ROUND));
        }
        boolean missesDeadline =
                nowMicros + service.estimatedWaitMicros() > call.request().deadlineMicros();
        if (missesDeadline && state.isOn(EngineFeature.EARLY_REFUSAL)) {
            finisher.answer(call, notRunReason(call, Reason.DEADLINE_TOO_SHORT), nowMicros);
        } else if (service.queue().offer(call.queueEntry())) {
            state.recordQueued(call, nowMicros);
        } else {
            finisher.answer(call, notRunReason(call, Reason.QUEUE_FULL), nowMicros);
        }
    }

    /** Returns whether the service's servers are probed for their load when a call arrives. */
    static boolean usesLoadProbes(ServiceState service) {
        return service.routingPolicy() instanceof RoutingPolicy.AskedLoad;
    }

    /** Returns the reason given, or that of the last lost attempt if an earlier attempt may have run the request. */
    static Reason notRunReason(ActiveCall call, Reason reason) {
        return call.mayHaveRun() ? call.lastLoss() : reason;
    }

    private void start(ActiveCall call, Cause cause, Choice choice, long nowMicros) {
        ServerState server = choice.server();
        int serverInFlight = server.inFlight() + Math.max(0, server.othersAtReport());
        int slots = Math.max(1, server.server().slots());
        double queueFactor = Math.max(0.0, serverInFlight + 1 - slots) / slots;
        ActiveCall.Attempt a = startAttempt(call, cause, choice, queueFactor, nowMicros);
        server.conditions()
                .limit()
                .current()
                .ifPresent(l -> state.record(
                        nowMicros, call, new EventBody.LimitedServerUsed(server.name(), l.perSecond(), cause.name())));
        emitStart(call, a, 0);
        scheduleHedge(call, a, nowMicros);
    }

    private ActiveCall.Attempt startAttempt(
            ActiveCall call, Cause cause, Choice choice, double queueFactor, long nowMicros) {
        ActiveCall.Attempt a = call.start(choice.server(), nowMicros, queueFactor);
        if (call.isBulk()) {
            state.addBulkInFlight(1);
        }
        state.record(
                nowMicros,
                call,
                new EventBody.ServerChosen(
                        call.request().service(),
                        a.number(),
                        cause.name(),
                        choice.server().name(),
                        choice.candidates()));
        return a;
    }

    private void emitStart(ActiveCall call, ActiveCall.Attempt a, int forwardedAttempts) {
        boolean mayRetryDownstream =
                !state.isOn(EngineFeature.RETRY_BUDGET) || call.request().mayRetry() && a.number() == 1;
        state.emit(new CallAction.StartAttempt(
                call.callId(),
                a.number(),
                a.server().server(),
                call.request().deadlineMicros(),
                call.service().service().queue().stallMillis(),
                mayRetryDownstream,
                forwardedAttempts,
                state.callerCheck().current(call.request().caller()),
                call.service().service().healthPath()));
    }

    private void scheduleHedge(ActiveCall call, ActiveCall.Attempt a, long nowMicros) {
        boolean isHedged = call.service().service().retry().hedgeRatio() > 0
                && call.request().idempotent();
        if (!isHedged || a.number() > 1) {
            return;
        }
        slowdownDetector.schedule(call, a, nowMicros);
        int fixedMillis = call.service().service().retry().hedgeAfterMillis();
        long after = fixedMillis > 0 ? fixedMillis * MICROS_PER_MILLI : hedgeDelayMicros(call);
        state.timers()
                .add(new EngineState.Timer(nowMicros + after, call.callId(), a.number(), EngineState.TimerKind.HEDGE));
    }

    /** Delays the hedge of a call that is well within its target, as two attempts take capacity from other calls. */
    private static long hedgeDelayMicros(ActiveCall call) {
        long targetLatency = call.request().policy().targetLatencyMicros();
        return targetLatency == 0
                ? call.service().latency().hedgeDelayMicros()
                : (long) (targetLatency * HEDGE_DELAY_FRACTION);
    }

    /** Returns whether the call's request is suspected or convicted of crashing servers. */
    Verdict verdict(ActiveCall call, long nowMicros) {
        if (!state.isOn(EngineFeature.SUSPECT_ISOLATION)) {
            return Verdict.CLEAR;
        }
        return state.suspects().verdict(call.request().fingerprint(), nowMicros);
    }

    private boolean acquireSuspectRun(ActiveCall call, long nowMicros) {
        if (verdict(call, nowMicros) == Verdict.CLEAR) {
            return true;
        }
        if (call.isSuspectRunning()) {
            return call.attempts().isEmpty();
        }
        boolean isAcquired = state.suspects().tryStart(call.request().fingerprint());
        call.setSuspectRunning(isAcquired);
        return isAcquired;
    }
}
