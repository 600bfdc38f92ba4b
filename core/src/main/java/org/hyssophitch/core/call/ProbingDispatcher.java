package org.hyssophitch.core.call;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.routing.Choice;
import org.hyssophitch.core.routing.LoadPlacement;
import org.hyssophitch.core.routing.RoutingPolicy;
import org.hyssophitch.core.routing.ServerSelector;
import org.hyssophitch.core.routing.ServerState;
import org.hyssophitch.core.timeline.EventBody;
import org.hyssophitch.core.timeline.EventBody.CandidateView;

/**
 * Dispatches calls by load probes: probes servers when calls arrive, assigns the calls by the reported load and queues
 * those for which no server has capacity. Not thread-safe; owned by the call engine.
 *
 * <p>Made for load that changes within milliseconds, where earlier reports are stale. Calls that arrive during a probe
 * round share it, so the number of probes per call falls as load rises. A queued call can still go to whichever server
 * first gets capacity, whereas sending it to a full server would slow that server down. A call that has waited so long
 * that it would miss its target is rejected, so that its caller can retry.
 */
final class ProbingDispatcher {

    /** Time in microseconds that a round waits for probe answers. */
    private static final long ROUND_TIMEOUT_MICROS = 8_000;
    /** Minimum interval in microseconds between rounds for queued calls; jitter of up to the same length is added. */
    private static final long MIN_ROUND_INTERVAL_MICROS = 16_000;
    /** Age in microseconds up to which a load report counts as current. */
    private static final long MAX_REPORT_AGE_MICROS = 40_000;
    /** Relative cost up to which a server of the own zone is used without probing other zones. */
    private static final double ACCEPTABLE_COST = 1.5;
    /** Servers probed in one round while the probe budget is low. */
    private static final int LOW_BUDGET_SAMPLE_SIZE = 2;
    /** Servers probed in a second round; few, as most are in other zones and traffic between zones is charged. */
    private static final int MAX_REMOTE_SAMPLE_SIZE = 3;
    /** Minimum number of usable servers in the own zone for probing only those first. */
    private static final int MIN_SAME_ZONE_SERVERS = 2;

    private final EngineState state;
    private final CallFinisher finisher;
    private final AttemptStarter starter;
    private final WaitLimiter waitLimiter;

    ProbingDispatcher(EngineState state, CallFinisher finisher, AttemptStarter starter) {
        this.state = state;
        this.finisher = finisher;
        this.starter = starter;
        this.waitLimiter = new WaitLimiter(state);
    }

    /** Queues a call for the next placement, or rejects it immediately. */
    void enqueue(ActiveCall call, long nowMicros) {
        ServiceState service = call.service();
        boolean isHedge = !call.attempts().isEmpty();
        if (!service.hasServer()) {
            rejectUnlessHedge(isHedge, call, service.noServerReason(), nowMicros);
            return;
        }
        call.setWaitUntilMicros(TargetRules.waitUntil(call, nowMicros));
        if (starter.tryForward(call, nowMicros)) {
            service.queue().remove(call.queueEntry());
            return;
        }
        if (call.request().isForwarded() && state.cutOffDetector().isCutOff()) {
            rejectUnlessHedge(isHedge, call, Reason.FORWARD_REFUSED, nowMicros);
            return;
        }
        if (service.acceptsFromMicros(nowMicros) > call.waitUntilMicros()) {
            rejectUnlessHedge(isHedge, call, service.limitedReason(nowMicros), nowMicros);
            return;
        }
        waitLimiter.onQueueChanged(service, nowMicros);
        boolean isWaiting = service.queue().contains(call.queueEntry());
        if (!isWaiting && !service.queue().offer(call.queueEntry())) {
            rejectUnlessHedge(isHedge, call, Reason.QUEUE_FULL, nowMicros);
            return;
        }
        service.contention().requestCheck();
        advance(service, nowMicros);
    }

    /** Rejects a call; one that wanted a hedge continues with its running attempt instead. */
    private void rejectUnlessHedge(boolean isHedge, ActiveCall call, Reason reason, long nowMicros) {
        if (!isHedge) {
            finisher.answer(call, AttemptStarter.notRunReason(call, reason), nowMicros);
        }
    }

    /** Ends a round that is over, rejects calls that have waited too long, and starts a round for the queued calls. */
    void advance(ServiceState service, long nowMicros) {
        ProbeRound round = service.probeRound();
        if (state.cutOffDetector().isCutOff()) {
            forwardQueued(service, nowMicros);
            hedgeSilentCalls(service, nowMicros);
        }
        if (round.isOver(nowMicros)) {
            finishRound(service, nowMicros);
        }
        waitLimiter.onQueueChanged(service, nowMicros);
        if (service.queue().size() == 0 || round.isRunning()) {
            return;
        }
        rejectExpired(service, nowMicros);
        waitLimiter.findRejected(service, nowMicros).forEach(c -> endWait(c, Reason.NO_ROOM, nowMicros));
        if (service.queue().size() == 0) {
            return;
        }
        if (nowMicros >= round.nextMicros()) {
            startRound(service, Set.of(), nowMicros);
        }
        scheduleTimer(service, nowMicros);
    }

    /** Places queued calls after an attempt has ended, since its response carried the server's load. */
    void onAttemptReleased(ServiceState service, long nowMicros) {
        if (service.queue().size() > 0 && !service.probeRound().isRunning()) {
            placeQueued(service, Double.MAX_VALUE, nowMicros);
        }
        advance(service, nowMicros);
    }

    private void forwardQueued(ServiceState service, long nowMicros) {
        service.queue().waiting().stream()
                .map(w -> state.calls().get(w.callId()))
                .filter(c -> starter.tryForward(c, nowMicros))
                .toList()
                .forEach(c -> service.queue().remove(c.queueEntry()));
    }

    /** Forwards, as hedges, the idempotent calls whose servers have been silent since before the cut was noticed. */
    private void hedgeSilentCalls(ServiceState service, long nowMicros) {
        state.calls().values().stream()
                .filter(c -> c.service() == service && c.request().idempotent() && c.isOnFirstAttempt())
                .toList()
                .forEach(c -> starter.tryForwardHedge(c, nowMicros));
    }

    /** Handles the end of a probe; places queued calls if it was the last one that the round awaited. */
    void onProbeCompleted(ServiceState service, String server, long nowMicros) {
        service.probeRound().onProbeCompleted(server);
        advance(service, nowMicros);
    }

    /** Places calls by the probe results; if the own zone's servers are slow or full, probes other zones at once. */
    private void finishRound(ServiceState service, long nowMicros) {
        ProbeRound round = service.probeRound();
        round.end();
        boolean mayProbeMore = round.isFirst();
        placeQueued(service, mayProbeMore ? ACCEPTABLE_COST : Double.MAX_VALUE, nowMicros);
        if (mayProbeMore && service.queue().size() > 0) {
            startRound(service, round.probed(), nowMicros);
        } else {
            recordQueued(service, nowMicros);
        }
    }

    /** Records once for each queued call that no probed server has capacity for it. */
    private void recordQueued(ServiceState service, long nowMicros) {
        service.queue().waiting().stream()
                .map(w -> state.calls().get(w.callId()))
                .filter(c -> c != null && c.attempts().isEmpty() && c.markWaiting())
                .forEach(c -> state.recordQueued(c, nowMicros));
    }

    private void startRound(ServiceState service, Set<String> probed, long nowMicros) {
        List<ServerState> candidates =
                service.probeRound().isProbingUseful() ? candidates(service, probed, nowMicros) : List.of();
        if (candidates.isEmpty()) {
            service.probeRound().postpone(nowMicros + nextRoundDelay());
            placeQueued(service, Double.MAX_VALUE, nowMicros);
            return;
        }
        Set<String> names = new HashSet<>();
        List<BackendServer> servers = new ArrayList<>();
        candidates.forEach(s -> {
            names.add(s.name());
            servers.add(s.server());
        });
        service.probeRound()
                .start(names, probed.isEmpty(), nowMicros + ROUND_TIMEOUT_MICROS, nowMicros + nextRoundDelay());
        state.emit(new CallAction.ProbeLoad(servers, service.service().healthPath()));
    }

    private long nextRoundDelay() {
        return MIN_ROUND_INTERVAL_MICROS + state.random().nextLong(MIN_ROUND_INTERVAL_MICROS);
    }

    /**
     * Returns the servers to probe: first those with a limit of which this host has a share left, then those with the
     * fewest attempts in flight. The first round probes only servers
     * of this host's zone when it has enough usable ones.
     *
     * @param probed servers that were probed already
     */
    private List<ServerState> candidates(ServiceState service, Set<String> probed, long nowMicros) {
        int sampleSize = service.routingPolicy() instanceof RoutingPolicy.AskedLoad a ? a.sampleSize() : 1;
        String zone = state.settings().zone();
        List<ServerState> usable = new ArrayList<>(service.eligible(nowMicros).stream()
                .filter(s -> s.inFlight() < LoadPlacement.knee(s))
                .filter(s -> !probed.contains(s.name()))
                .toList());
        shuffle(usable);
        usable.sort(Comparator.comparing((ServerState s) -> !s.conditions().hasShare())
                .thenComparingInt(ServerState::inFlight));
        List<ServerState> sameZone =
                usable.stream().filter(s -> s.server().zone().equals(zone)).toList();
        if (probed.isEmpty() && sameZone.size() >= MIN_SAME_ZONE_SERVERS) {
            List<ServerState> affordable = takeProbes(sameZone, sampleSize, nowMicros);
            if (!affordable.isEmpty()) {
                return affordable;
            }
        }
        return takeProbes(usable, probed.isEmpty() ? sampleSize : MAX_REMOTE_SAMPLE_SIZE, nowMicros);
    }

    /** Takes probes from the servers' budgets and returns the servers to probe; fewer when a budget runs low. */
    private static List<ServerState> takeProbes(List<ServerState> servers, int sampleSize, long nowMicros) {
        boolean isBudgetLow = servers.stream().anyMatch(s -> !s.hasSpareLoadProbes(nowMicros));
        int count = isBudgetLow ? Math.min(sampleSize, LOW_BUDGET_SAMPLE_SIZE) : sampleSize;
        return servers.stream()
                .filter(s -> s.tryTakeLoadProbe(nowMicros))
                .limit(count)
                .toList();
    }

    private void shuffle(List<ServerState> servers) {
        for (int i = servers.size() - 1; i > 0; i--) {
            servers.add(servers.remove(state.random().nextInt(i + 1)));
        }
    }

    private void placeQueued(ServiceState service, double maxCost, long nowMicros) {
        waitLimiter.ordered(service, nowMicros).forEach(c -> {
            if (tryPlace(c, maxCost, nowMicros)) {
                service.queue().remove(c.queueEntry());
                waitLimiter.onPlaced(c, nowMicros);
            }
        });
    }

    private boolean tryPlace(ActiveCall call, double maxCost, long nowMicros) {
        LoadPlacement placement = new LoadPlacement(
                state.settings().zone(),
                nowMicros,
                TargetRules.expectedMicros(call),
                call.service().othersUtilization());
        boolean isHedge = !call.attempts().isEmpty();
        List<ServerState> untried = untried(call, nowMicros).stream()
                .filter(s -> !s.isRefusing(nowMicros))
                .filter(s -> !isHedge || !call.tried().contains(s.name()))
                .toList();
        List<ServerState> current =
                untried.stream().filter(s -> hasCurrentReport(s, nowMicros)).toList();
        boolean mayProbeMore = maxCost < Double.MAX_VALUE;
        boolean mayUseUnprobed =
                current.isEmpty() && !mayProbeMore && !state.cutOffDetector().isCutOff();
        Optional<ServerState> chosen = placement.choose(mayUseUnprobed ? untried : current);
        double acceptable =
                isHedge ? ACCEPTABLE_COST : Math.min(maxCost, TargetRules.maxCostForTarget(call, nowMicros));
        if (chosen.isEmpty() || placement.cost(chosen.get()) > acceptable) {
            return false;
        }
        if (TargetRules.yieldsLastSlot(call, nowMicros) && isLastFastSlot(placement, chosen.get())) {
            return false;
        }
        Choice choice = new Choice(chosen.get(), views(untried, placement, chosen.get(), nowMicros));
        return starter.startChosen(call, cause(call), choice, nowMicros);
    }

    /**
     * Returns the eligible servers that a call may use next: those that this host uses and the call has not tried, then
     * any that it has not tried, then any at all.
     */
    private static List<ServerState> untried(ActiveCall call, long nowMicros) {
        Predicate<ServerState> isUntried = s -> !call.tried().contains(s.name());
        List<ServerState> used = call.service().eligible(nowMicros);
        List<ServerState> untried = used.stream().filter(isUntried).toList();
        if (!untried.isEmpty() || call.service().servers().stream().noneMatch(isUntried)) {
            return untried.isEmpty() ? used : untried;
        }
        return call.service().servers().stream()
                .filter(isUntried.and(s -> s.isEligible(nowMicros)))
                .toList();
    }

    private static boolean isLastFastSlot(LoadPlacement placement, ServerState server) {
        return placement.isLastSlotBelowKnee(server) && placement.cost(server) <= ACCEPTABLE_COST;
    }

    private static AttemptStarter.Cause cause(ActiveCall call) {
        if (call.attemptsStarted() == 0) {
            return AttemptStarter.Cause.FIRST;
        }
        return call.attempts().isEmpty() ? AttemptStarter.Cause.RETRY : AttemptStarter.Cause.HEDGE;
    }

    private List<CandidateView> views(
            List<ServerState> candidates, LoadPlacement placement, ServerState chosen, long nowMicros) {
        if (!state.recorder().isDetailed()) {
            return List.of();
        }
        return candidates.stream()
                .map(s -> ServerSelector.view(
                        s, placement.cost(s), candidateVerdict(s, chosen, placement, nowMicros), nowMicros))
                .toList();
    }

    private static String candidateVerdict(ServerState s, ServerState chosen, LoadPlacement placement, long nowMicros) {
        if (s == chosen) {
            return CandidateView.CHOSEN;
        }
        if (!placement.hasRoom(s)) {
            return CandidateView.NO_ROOM;
        }
        return hasCurrentReport(s, nowMicros) ? CandidateView.SCORED_HIGHER : CandidateView.REPORT_TOO_OLD;
    }

    private static boolean hasCurrentReport(ServerState s, long nowMicros) {
        return s.report()
                .filter(r -> r.ageMicros(nowMicros) <= MAX_REPORT_AGE_MICROS)
                .isPresent();
    }

    /** Rejects calls that have waited too long, and those that no server will take while they can wait. */
    private void rejectExpired(ServiceState service, long nowMicros) {
        long acceptsFrom = service.acceptsFromMicros(nowMicros);
        List<ActiveCall> expired = service.queue().waiting().stream()
                .map(w -> state.calls().get(w.callId()))
                .filter(c -> c != null && Math.max(nowMicros, acceptsFrom) >= c.waitUntilMicros())
                .toList();
        Reason reason = waitEndReason(service, acceptsFrom > nowMicros, nowMicros);
        expired.forEach(c -> endWait(c, reason, nowMicros));
    }

    private Reason waitEndReason(ServiceState service, boolean isLimited, long nowMicros) {
        if (!service.hasServer()) {
            return service.noServerReason();
        }
        if (state.cutOffDetector().isCutOff()) {
            return Reason.SERVERS_UNREACHABLE;
        }
        return isLimited ? service.limitedReason(nowMicros) : Reason.NO_ROOM;
    }

    /** Ends the wait of a call; an attempt that is in flight continues. */
    private void endWait(ActiveCall call, Reason reason, long nowMicros) {
        call.service().queue().remove(call.queueEntry());
        if (call.attempts().isEmpty()) {
            finisher.answer(call, AttemptStarter.notRunReason(call, reason), nowMicros);
        } else {
            state.record(
                    nowMicros,
                    call,
                    new EventBody.HedgeSkipped(call.service().service().name()));
        }
    }

    private void scheduleTimer(ServiceState service, long nowMicros) {
        ProbeRound round = service.probeRound();
        long at = round.isRunning() ? round.deadlineMicros() : round.nextMicros();
        if (at > nowMicros && at != round.timerMicros()) {
            round.setTimerMicros(at);
            state.timers().add(new EngineState.Timer(at, 0, 0, EngineState.TimerKind.ROUND));
        }
    }
}
