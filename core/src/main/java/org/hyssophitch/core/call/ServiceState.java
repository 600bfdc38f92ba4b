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

/**
 * What the engine keeps for one service. Not thread-safe; owned by the call engine.
 */
final class ServiceState {

    private static final double RETRY_BURST = 10;
    private static final double HEDGE_BURST = 3;
    /** Part of the shared budget that hedges may use up; the rest is for attempts that failed. */
    private static final double HEDGE_PART = 0.6;
    /** Part of the time to the target that an answer is taken to need before any was seen. */
    private static final double FIRST_SHARE = 0.4;
    /** Largest part that one answer counts for, so that a few late ones don't make every call look hopeless. */
    private static final double MOST_SHARE = 1;

    private static final double SHARE_WEIGHT = 0.03;

    private static final double FILL_WEIGHT = 0.05;
    private static final double MOST_FILL = 2;

    private Service service;
    private RoutingPolicy policy;
    private List<ServerState> servers;
    private CallQueue queue;
    private AttemptBudget retries;
    private AttemptBudget hedges;
    private final Optional<SlidingWindowBudget> shared;
    private double usualShare = FIRST_SHARE;
    private double usualFill = LoadPlacement.DEFAULT_UTILIZATION;
    private final LoadRound round = new LoadRound();
    private final LatencyTracker latency = new LatencyTracker();

    /**
     * Creates the state of a service.
     *
     * @param shared budget of further attempts that all entry hosts share; empty when the service has its own
     */
    ServiceState(Service service, List<ServerState> servers, String zone, Optional<SlidingWindowBudget> shared) {
        this.shared = shared;
        this.service = service;
        this.servers = servers;
        this.policy = RoutingPolicy.of(service, zone);
        this.queue = new CallQueue(service.queue().maxQueued());
        resetBudgets();
    }

    /** Takes over a changed definition; waiting calls stay in their order, also above a smaller bound. */
    void redefine(Service newService, List<ServerState> newServers, String zone) {
        boolean isRetryChanged = !newService.retry().equals(service.retry());
        boolean isQueueChanged = !newService.queue().equals(service.queue());
        service = newService;
        servers = newServers;
        policy = RoutingPolicy.of(newService, zone);
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

    RoutingPolicy policy() {
        return policy;
    }

    List<ServerState> servers() {
        return servers;
    }

    CallQueue queue() {
        return queue;
    }

    AttemptBudget retries() {
        return retries;
    }

    AttemptBudget hedges() {
        return hedges;
    }

    /** Earns the share of one call in every budget of the service. */
    void earn(long nowMicros) {
        retries.deposit(nowMicros);
        hedges.deposit(nowMicros);
    }

    /** Changes this host's part of the budget that all entry hosts share. */
    void setSharedPart(double ratio, double allowance) {
        shared.ifPresent(b -> b.setLimits(ratio, allowance));
    }

    /** Returns the part of a call's time to its target that answers of this service usually take. */
    double usualShare() {
        return usualShare;
    }

    /** Notes the part of a call's time to its target that an answer took. */
    void addShare(double share) {
        usualShare += SHARE_WEIGHT * (Math.min(share, MOST_SHARE) - usualShare);
    }

    /** Returns the part of a server's usable slots that other hosts' calls usually take. */
    double usualFill() {
        return usualFill;
    }

    /** Notes what other hosts' calls took of a server's usable slots when it was asked. */
    void addFill(double fill) {
        usualFill += FILL_WEIGHT * (Math.min(fill, MOST_FILL) - usualFill);
    }

    LoadRound round() {
        return round;
    }

    LatencyTracker latency() {
        return latency;
    }

    /** Returns the servers that a call has not tried yet; all of them once it has tried every one. */
    List<ServerState> untried(Collection<String> tried) {
        if (tried.isEmpty()) {
            return servers;
        }
        List<ServerState> rest =
                servers.stream().filter(s -> !tried.contains(s.name())).toList();
        return rest.isEmpty() ? servers : rest;
    }

    /** Returns whether any server could take new work now or later. */
    boolean hasServer() {
        return servers.stream().anyMatch(s -> !s.isLeaving());
    }

    /** Returns whether a server may be ejected: more than half of the others have to stay. */
    boolean mayEject(ServerState candidate, long nowMicros) {
        long others = servers.stream().filter(s -> s != candidate).count();
        long healthy = servers.stream()
                .filter(s -> s != candidate && !s.isLeaving() && s.health().isAvailable(nowMicros))
                .count();
        return healthy > 0 && healthy * 2 > others;
    }

    /** Returns the estimated time in microseconds that a call added to the queue now would wait. */
    long estimatedWaitMicros() {
        double capacity = servers.stream()
                .filter(s -> !s.isLeaving())
                .mapToInt(s -> Math.min(s.server().slots(), s.limit().current()))
                .sum();
        return (long) ((queue.size() + 1) * latency.meanMicros() / Math.max(1, capacity));
    }

    private void resetBudgets() {
        retries = shared.<AttemptBudget>map(b -> b)
                .orElseGet(() -> new RatioBudget(service.retry().retryRatio(), RETRY_BURST));
        hedges = shared.map(b -> b.fraction(HEDGE_PART))
                .orElseGet(() -> new RatioBudget(service.retry().hedgeRatio(), HEDGE_BURST));
    }
}
