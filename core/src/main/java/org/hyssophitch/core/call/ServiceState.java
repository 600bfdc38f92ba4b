package org.hyssophitch.core.call;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

import org.hyssophitch.core.admission.CallQueue;
import org.hyssophitch.core.configuration.Service;
import org.hyssophitch.core.retry.AttemptBudget;
import org.hyssophitch.core.retry.RatioBudget;
import org.hyssophitch.core.retry.SlidingWindowBudget;
import org.hyssophitch.core.routing.LoadPlacement;
import org.hyssophitch.core.routing.RoutingPolicy;
import org.hyssophitch.core.routing.ServerState;
import org.hyssophitch.core.routing.ServerSubset;

/**
 * State of one service: its definition, servers, queue, budgets and statistics. Not thread-safe; owned by the call
 * engine.
 */
final class ServiceState {

    private static final double RETRY_BUDGET_BURST = 10;
    private static final double HEDGE_BUDGET_BURST = 3;
    /** Fraction of the shared budget that hedges may use; the rest is reserved for retries. */
    private static final double HEDGE_BUDGET_SHARE = 0.6;
    /** Assumed latency as a fraction of the target latency until the first response. */
    private static final double INITIAL_LATENCY_SHARE = 0.4;
    /** Upper bound of one sample, so that a few slow responses don't make every call look late. */
    private static final double MAX_LATENCY_SHARE = 1;

    private static final double LATENCY_SHARE_WEIGHT = 0.03;

    private static final double UTILIZATION_WEIGHT = 0.05;
    private static final double MAX_UTILIZATION = 2;

    private Service service;
    private RoutingPolicy routingPolicy;
    private List<ServerState> servers;
    private ServerSubset subset;
    private CallQueue queue;
    private AttemptBudget retryBudget;
    private AttemptBudget hedgeBudget;
    private final Optional<SlidingWindowBudget> sharedBudget;
    private double typicalLatencyShare = INITIAL_LATENCY_SHARE;
    private double othersUtilization = LoadPlacement.DEFAULT_UTILIZATION;
    private boolean hasColdLimit;
    private final ProbeRound probeRound = new ProbeRound();
    private final LatencyTracker latency = new LatencyTracker();
    private final ServiceContention contention = new ServiceContention();

    /**
     * Creates the state of a service.
     *
     * @param subset the servers that this host uses if the service's servers are probed
     * @param sharedBudget this host's share of the fleet-wide extra-attempt budget; empty when the service has its own
     */
    ServiceState(
            Service service,
            List<ServerState> servers,
            ServerSubset subset,
            String zone,
            Optional<SlidingWindowBudget> sharedBudget) {
        this.sharedBudget = sharedBudget;
        this.service = service;
        this.servers = servers;
        this.subset = subset;
        this.routingPolicy = RoutingPolicy.of(service, zone);
        this.queue = new CallQueue(service.queue().maxQueued());
        resetBudgets();
    }

    /** Applies a changed definition; queued calls keep their order, and stay even above a smaller queue limit. */
    void redefine(Service newService, List<ServerState> newServers, ServerSubset newSubset, String zone) {
        boolean isRetryChanged = !newService.retry().equals(service.retry());
        boolean isQueueChanged = !newService.queue().equals(service.queue());
        service = newService;
        servers = newServers;
        subset = newSubset;
        routingPolicy = RoutingPolicy.of(newService, zone);
        if (isRetryChanged) {
            resetBudgets();
        }
        if (isQueueChanged) {
            queue = queue.withCapacity(newService.queue().maxQueued());
        }
    }

    Service service() {
        return service;
    }

    RoutingPolicy routingPolicy() {
        return routingPolicy;
    }

    List<ServerState> servers() {
        return servers;
    }

    CallQueue queue() {
        return queue;
    }

    AttemptBudget retryBudget() {
        return retryBudget;
    }

    AttemptBudget hedgeBudget() {
        return hedgeBudget;
    }

    /** Credits one call to the retry and hedge budgets. */
    void deposit(long nowMicros) {
        retryBudget.deposit(nowMicros);
        hedgeBudget.deposit(nowMicros);
    }

    /** Changes this host's share of the fleet-wide budget of extra attempts. */
    void setBudgetShare(double ratio, double allowance) {
        sharedBudget.ifPresent(b -> b.setLimits(ratio, allowance));
    }

    /** Returns the moving average of the latency as a fraction of the calls' target latency. */
    double typicalLatencyShare() {
        return typicalLatencyShare;
    }

    /** Adds a latency sample, as a fraction of the call's target latency. */
    void addLatencyShare(double sample) {
        typicalLatencyShare += LATENCY_SHARE_WEIGHT * (Math.min(sample, MAX_LATENCY_SHARE) - typicalLatencyShare);
    }

    /**
     * Returns the moving average of the fraction of a server's {@link LoadPlacement#knee} that other hosts' calls take.
     */
    double othersUtilization() {
        return othersUtilization;
    }

    /** Adds a sample of the fraction of a server's {@link LoadPlacement#knee} that other hosts' calls take. */
    void addOthersUtilization(double sample) {
        othersUtilization += UTILIZATION_WEIGHT * (Math.min(sample, MAX_UTILIZATION) - othersUtilization);
    }

    ProbeRound probeRound() {
        return probeRound;
    }

    ServiceContention contention() {
        return contention;
    }

    LatencyTracker latency() {
        return latency;
    }

    /** Returns the servers that a call has not tried yet, or all servers if it has tried every one. */
    List<ServerState> untried(Collection<String> tried) {
        if (tried.isEmpty()) {
            return servers;
        }
        List<ServerState> remaining =
                servers.stream().filter(s -> !tried.contains(s.name())).toList();
        return remaining.isEmpty() ? servers : remaining;
    }

    ServerSubset subset() {
        return subset;
    }

    /**
     * Returns the eligible servers that this host uses, or all eligible ones if it uses none of them. It uses those of
     * its subset, and any server of whose stated limit it has a share.
     */
    List<ServerState> eligible(long nowMicros) {
        List<ServerState> all =
                servers.stream().filter(s -> s.isEligible(nowMicros)).toList();
        List<ServerState> used = all.stream()
                .filter(s -> subset.contains(s) || s.conditions().hasShare())
                .toList();
        return used.isEmpty() ? all : used;
    }

    /** Returns whether any server may take new calls now or later: one that is not leaving, in no evacuated zone. */
    boolean hasServer() {
        return servers.stream().anyMatch(ServerState::isInService);
    }

    /** Returns why no server may take new calls now or later. */
    Reason noServerReason() {
        return servers.stream().anyMatch(s -> s.isEvacuated() && !s.isLeaving())
                ? Reason.ZONES_EVACUATED
                : Reason.NO_SERVER;
    }

    /** Returns why servers that may take new calls later take none now. */
    Reason limitedReason(long nowMicros) {
        return servers.stream()
                        .filter(ServerState::isInService)
                        .anyMatch(s -> s.conditions().cold().isLimited(nowMicros))
                ? Reason.SERVERS_COLD
                : Reason.SERVERS_LIMITED;
    }

    /** Returns whether the servers have a limit while they are cold. */
    boolean hasColdLimit() {
        return hasColdLimit;
    }

    void setHasColdLimit(boolean value) {
        hasColdLimit = value;
    }

    /**
     * Returns the time in microseconds from which a server takes a request, by what the servers state about themselves;
     * {@link Long#MAX_VALUE} if this isn't known of any.
     */
    long acceptsFromMicros(long nowMicros) {
        long earliest = Long.MAX_VALUE;
        for (ServerState s : servers) {
            long from = s.isInService() ? s.conditions().acceptsFromMicros(nowMicros) : Long.MAX_VALUE;
            if (from <= nowMicros) {
                return from;
            }
            earliest = Math.min(earliest, from);
        }
        return earliest;
    }

    /** Returns whether a server may be ejected: more than half of the other servers have to remain available. */
    boolean mayEject(ServerState candidate, long nowMicros) {
        long others = servers.stream().filter(s -> s != candidate).count();
        long available = servers.stream()
                .filter(s -> s != candidate && s.isInService() && s.health().isAvailable(nowMicros))
                .count();
        return available > 0 && available * 2 > others;
    }

    /** Returns the estimated queueing delay in microseconds of a call that is queued now. */
    long estimatedWaitMicros() {
        double capacity = servers.stream()
                .filter(ServerState::isInService)
                .mapToInt(s -> Math.min(s.server().slots(), s.limit().current()))
                .sum();
        return (long) ((queue.size() + 1) * latency.meanMicros() / Math.max(1, capacity));
    }

    private void resetBudgets() {
        retryBudget = sharedBudget
                .<AttemptBudget>map(b -> b)
                .orElseGet(() -> new RatioBudget(service.retry().retryRatio(), RETRY_BUDGET_BURST));
        hedgeBudget = sharedBudget
                .map(b -> b.fraction(HEDGE_BUDGET_SHARE))
                .orElseGet(() -> new RatioBudget(service.retry().hedgeRatio(), HEDGE_BUDGET_BURST));
    }
}
