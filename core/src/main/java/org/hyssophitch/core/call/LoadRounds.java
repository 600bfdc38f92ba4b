package org.hyssophitch.core.call;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.routing.Choice;
import org.hyssophitch.core.routing.LoadPlacement;
import org.hyssophitch.core.routing.RoutingPolicy;
import org.hyssophitch.core.routing.ServerSelector;
import org.hyssophitch.core.routing.ServerState;
import org.hyssophitch.core.timeline.EventBody;
import org.hyssophitch.core.timeline.EventBody.CandidateView;

/**
 * Asks servers for their load when calls arrive, places the calls by the answers and lets the others wait. Not
 * thread-safe.
 *
 * <p>Answers load that shifts within milliseconds: what a server said before is stale. Calls that arrive while a round
 * of questions is under way share it, so the cost of asking per call falls as load rises. A call that no server has
 * room for waits here, where it can still go to whichever server gets room first, instead of slowing down a full one.
 * A call that has waited so long that it would miss its target is refused at once, so that its caller may return.
 */
final class LoadRounds {

    /** Time in microseconds that a round waits for answers. */
    private static final long ROUND_MICROS = 8_000;
    /** Least time in microseconds between two rounds for calls that found no room, before jitter of the same length. */
    private static final long PAUSE_MICROS = 16_000;
    /** Age in microseconds up to which a report counts as an answer to the question. */
    private static final long FRESH_MICROS = 40_000;
    /** Relative cost up to which a server of the own zone is taken without asking the others. */
    private static final double GOOD_COST = 1.5;
    /** Servers asked in one round while the budget for questions is low. */
    private static final int FEW = 2;
    /** Servers of other zones that are asked in one round; their answers cross zones, which has a price. */
    private static final int MOST_FAR = 3;
    /** Servers of the own zone from which on those are asked first. */
    private static final int ENOUGH_NEAR = 2;
    /** Part of the time to its deadline that a call may wait which can't be in time any more. */
    private static final double LATE_WAIT_SHARE = 0.2;
    /** Least time in microseconds that a call may wait. */
    private static final long LEAST_WAIT_MICROS = 60_000;
    /** Time in microseconds that a call may wait when its route names no target. */
    private static final long DEFAULT_WAIT_MICROS = 250_000;
    /** Time in microseconds before the end of its wait from which on a late call takes a server's last place too. */
    private static final long LAST_CHANCE_MICROS = 40_000;

    private final EngineState state;
    private final CallFinisher finisher;
    private final AttemptStarter starter;

    LoadRounds(EngineState state, CallFinisher finisher, AttemptStarter starter) {
        this.state = state;
        this.finisher = finisher;
        this.starter = starter;
    }

    /** Lets a call take part in the next placement, or gives up on it at once. */
    void join(ActiveCall call, long nowMicros) {
        ServiceState service = call.service();
        boolean isHedge = !call.attempts().isEmpty();
        if (!service.hasServer()) {
            giveUpUnless(isHedge, call, Reason.NO_SERVER, nowMicros);
            return;
        }
        call.setWaitUntilMicros(waitUntil(call, nowMicros));
        boolean isWaiting = service.queue().contains(call.waiting());
        if (!isWaiting && !service.queue().offer(call.waiting())) {
            giveUpUnless(isHedge, call, Reason.QUEUE_FULL, nowMicros);
            return;
        }
        advance(service, nowMicros);
    }

    /** A call whose first attempt runs goes on without the second one. */
    private void giveUpUnless(boolean isHedge, ActiveCall call, Reason reason, long nowMicros) {
        if (!isHedge) {
            finisher.answer(call, AttemptStarter.notRunReason(call, reason), nowMicros);
        }
    }

    /** Starts a round when calls wait and none is under way; refuses those that have waited too long. */
    void advance(ServiceState service, long nowMicros) {
        LoadRound round = service.round();
        if (round.isOver(nowMicros)) {
            finish(service, nowMicros);
        }
        if (service.queue().size() == 0 || round.isRunning()) {
            return;
        }
        refuseLate(service, nowMicros);
        if (service.queue().size() == 0) {
            return;
        }
        if (nowMicros >= round.nextMicros()) {
            start(service, Set.of(), nowMicros);
        }
        wakeFor(service, nowMicros);
    }

    /** Places calls where an attempt has just ended, as its answer told the server's load. */
    void onFreed(ServiceState service, long nowMicros) {
        if (service.queue().size() > 0 && !service.round().isRunning()) {
            place(service, Double.MAX_VALUE, nowMicros);
        }
        advance(service, nowMicros);
    }

    /** Takes an answer into account, and places calls when it was the last one that the round waits for. */
    void onAnswer(ServiceState service, String server, long nowMicros) {
        service.round().onAnswer(server);
        advance(service, nowMicros);
    }

    /** Places calls by the answers; where the zone's own servers are slow or full, the others are asked at once. */
    private void finish(ServiceState service, long nowMicros) {
        LoadRound round = service.round();
        round.end();
        boolean hasFurther = round.isFirst();
        place(service, hasFurther ? GOOD_COST : Double.MAX_VALUE, nowMicros);
        if (hasFurther && service.queue().size() > 0) {
            start(service, round.asked(), nowMicros);
        } else {
            recordWaiting(service, nowMicros);
        }
    }

    /** Records once for each call that no server that was asked has room for it. */
    private void recordWaiting(ServiceState service, long nowMicros) {
        service.queue().waiting().stream()
                .map(w -> state.calls().get(w.callId()))
                .filter(c -> c != null && c.attempts().isEmpty() && c.markWaiting())
                .forEach(c -> state.recordQueued(c, nowMicros));
    }

    private void start(ServiceState service, Set<String> asked, long nowMicros) {
        List<ServerState> candidates = service.round().isUseful() ? candidates(service, asked, nowMicros) : List.of();
        if (candidates.isEmpty()) {
            service.round().postpone(nowMicros + pause());
            place(service, Double.MAX_VALUE, nowMicros);
            return;
        }
        Set<String> names = new HashSet<>();
        List<BackendServer> servers = new ArrayList<>();
        candidates.forEach(s -> {
            names.add(s.name());
            servers.add(s.server());
        });
        service.round().start(names, asked.isEmpty(), nowMicros + ROUND_MICROS, nowMicros + pause());
        state.emit(new CallAction.AskLoad(servers, service.service().healthPath()));
    }

    private long pause() {
        return PAUSE_MICROS + state.random().nextLong(PAUSE_MICROS);
    }

    /**
     * Returns the servers to ask: first those of this host's zone, then the others; the least used first.
     *
     * @param asked servers that were asked already
     */
    private List<ServerState> candidates(ServiceState service, Set<String> asked, long nowMicros) {
        int most = service.policy() instanceof RoutingPolicy.AskedLoad a ? a.sampleSize() : 1;
        String zone = state.settings().zone();
        List<ServerState> usable = new ArrayList<>(service.servers().stream()
                .filter(s -> s.isEligible(nowMicros) && s.inFlight() < LoadPlacement.knee(s))
                .filter(s -> !asked.contains(s.name()))
                .toList());
        shuffle(usable);
        usable.sort(Comparator.comparingInt(ServerState::inFlight));
        List<ServerState> near =
                usable.stream().filter(s -> s.server().zone().equals(zone)).toList();
        if (asked.isEmpty() && near.size() >= ENOUGH_NEAR) {
            List<ServerState> affordable = affordable(near, most, nowMicros);
            if (!affordable.isEmpty()) {
                return affordable;
            }
        }
        return affordable(usable, asked.isEmpty() ? most : MOST_FAR, nowMicros);
    }

    /** Asks fewer servers where the budget for questions runs low. */
    private static List<ServerState> affordable(List<ServerState> servers, int most, long nowMicros) {
        boolean isScarce = servers.stream().anyMatch(s -> !s.hasSpareLoadProbes(nowMicros));
        int count = isScarce ? Math.min(most, FEW) : most;
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

    /**
     * Places waiting calls: by priority, then those that can still be in time, since under overload each place that a
     * late call takes makes another one late.
     */
    private void place(ServiceState service, double mostCost, long nowMicros) {
        List<ActiveCall> waiting = service.queue().waiting().stream()
                .map(w -> state.calls().get(w.callId()))
                .sorted(Comparator.comparingInt(
                                (ActiveCall c) -> c.request().terms().priority())
                        .thenComparing(c -> isLate(c, nowMicros))
                        .thenComparingLong(c -> c.request().terms().targetMicros()))
                .toList();
        waiting.forEach(c -> {
            if (placeOne(c, mostCost, nowMicros)) {
                service.queue().remove(c.waiting());
            }
        });
    }

    /** Returns whether an answer will probably come after the call's target even if it starts now. */
    private static boolean isLate(ActiveCall call, long nowMicros) {
        CallTerms terms = call.request().terms();
        return nowMicros + needed(call) > terms.targetMicros();
    }

    /** Returns the time in microseconds that the call usually takes; 0 when its route names no target. */
    private static double needed(ActiveCall call) {
        return call.request().terms().spanMicros() * call.service().usualShare();
    }

    /**
     * Returns the relative cost up to which a server still lets the call be in time. A call waits for a better server
     * as long as that can help it, and takes any once it is late.
     */
    private static double affordable(ActiveCall call, long nowMicros) {
        double needed = needed(call);
        boolean isAny = needed == 0 || isLate(call, nowMicros);
        return isAny ? Double.MAX_VALUE : (call.request().terms().targetMicros() - nowMicros) / needed;
    }

    private boolean placeOne(ActiveCall call, double mostCost, long nowMicros) {
        LoadPlacement placement = new LoadPlacement(
                state.settings().zone(), nowMicros, needed(call), call.service().usualFill());
        boolean isHedge = !call.attempts().isEmpty();
        List<ServerState> untried = call.service().untried(call.tried()).stream()
                .filter(s -> s.isEligible(nowMicros) && !s.isRefusing(nowMicros))
                .filter(s -> !isHedge || !call.tried().contains(s.name()))
                .toList();
        List<ServerState> fresh =
                untried.stream().filter(s -> isFresh(s, nowMicros)).toList();
        boolean hasFurther = mostCost < Double.MAX_VALUE;
        Optional<ServerState> chosen = placement.choose(fresh.isEmpty() && !hasFurther ? untried : fresh);
        double acceptable = isHedge ? GOOD_COST : Math.min(mostCost, affordable(call, nowMicros));
        if (chosen.isEmpty() || placement.cost(chosen.get()) > acceptable) {
            return false;
        }
        if (isYielding(call, nowMicros) && isLastFastPlace(placement, chosen.get())) {
            return false;
        }
        Choice choice = new Choice(chosen.get(), views(untried, placement, chosen.get(), nowMicros));
        return starter.startChosen(call, cause(call), choice, nowMicros);
    }

    /**
     * Returns whether a call leaves the last place of a fast server to calls that can still be in time, which may wait
     * at any entry host. It does so for most of its own wait: nobody is turned away for a place that stays empty.
     */
    private static boolean isYielding(ActiveCall call, long nowMicros) {
        boolean isLate = needed(call) > 0 && isLate(call, nowMicros);
        return isLate && nowMicros < call.waitUntilMicros() - LAST_CHANCE_MICROS;
    }

    private static boolean isLastFastPlace(LoadPlacement placement, ServerState server) {
        return placement.isLastSlotBelowKnee(server) && placement.cost(server) <= GOOD_COST;
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
                .map(s ->
                        ServerSelector.view(s, placement.cost(s), verdict(s, chosen, placement, nowMicros), nowMicros))
                .toList();
    }

    private static String verdict(ServerState s, ServerState chosen, LoadPlacement placement, long nowMicros) {
        if (s == chosen) {
            return CandidateView.CHOSEN;
        }
        if (!placement.hasRoom(s)) {
            return CandidateView.NO_ROOM;
        }
        return isFresh(s, nowMicros) ? CandidateView.SCORED_HIGHER : CandidateView.REPORT_TOO_OLD;
    }

    private static boolean isFresh(ServerState s, long nowMicros) {
        return s.report().filter(r -> r.ageMicros(nowMicros) <= FRESH_MICROS).isPresent();
    }

    private void refuseLate(ServiceState service, long nowMicros) {
        List<ActiveCall> late = service.queue().waiting().stream()
                .map(w -> state.calls().get(w.callId()))
                .filter(c -> c != null && nowMicros >= c.waitUntilMicros())
                .toList();
        late.forEach(c -> giveUp(c, nowMicros));
    }

    /** Ends the wait of a call; an attempt that is under way goes on. */
    private void giveUp(ActiveCall call, long nowMicros) {
        call.service().queue().remove(call.waiting());
        if (call.attempts().isEmpty()) {
            finisher.answer(call, AttemptStarter.notRunReason(call, Reason.NO_ROOM), nowMicros);
        } else {
            state.record(
                    nowMicros,
                    call,
                    new EventBody.HedgeSkipped(call.service().service().name()));
        }
    }

    /**
     * Returns until when a call may wait: as long as it can still be in time, and for a short while when it can't
     * anyway, as there may be room for it between the others.
     */
    private static long waitUntil(ActiveCall call, long nowMicros) {
        CallTerms terms = call.request().terms();
        long left = call.request().deadlineMicros() - nowMicros;
        if (terms.spanMicros() == 0) {
            return nowMicros + Math.min(left, DEFAULT_WAIT_MICROS);
        }
        long inTime = terms.targetMicros() - (long) needed(call) + LEAST_WAIT_MICROS;
        long brief = nowMicros + Math.max(LEAST_WAIT_MICROS, (long) (left * LATE_WAIT_SHARE));
        return Math.min(
                Math.max(inTime, isLate(call, nowMicros) ? brief : nowMicros + LEAST_WAIT_MICROS),
                call.request().deadlineMicros());
    }

    private void wakeFor(ServiceState service, long nowMicros) {
        LoadRound round = service.round();
        long at = round.isRunning() ? round.deadlineMicros() : round.nextMicros();
        if (at > nowMicros && at != round.wakeMicros()) {
            round.setWakeMicros(at);
            state.timers().add(new EngineState.Timer(at, 0, 0, EngineState.TimerKind.ROUND));
        }
    }
}
