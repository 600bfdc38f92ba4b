package org.hyssophitch.core.call;

import java.util.Collection;
import java.util.List;

import org.hyssophitch.core.admission.CallQueue;
import org.hyssophitch.core.configuration.Service;
import org.hyssophitch.core.retry.RatioBudget;
import org.hyssophitch.core.routing.RoutingPolicy;
import org.hyssophitch.core.routing.ServerState;

/**
 * What the engine keeps for one service. Not thread-safe; owned by the call engine.
 */
final class ServiceState {

    private static final double RETRY_BURST = 10;
    private static final double HEDGE_BURST = 3;

    private Service service;
    private RoutingPolicy policy;
    private List<ServerState> servers;
    private CallQueue queue;
    private RatioBudget retries;
    private RatioBudget hedges;
    private final LatencyTracker latency = new LatencyTracker();

    ServiceState(Service service, List<ServerState> servers, String zone) {
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

    RatioBudget retries() {
        return retries;
    }

    RatioBudget hedges() {
        return hedges;
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
        retries = new RatioBudget(service.retry().retryRatio(), RETRY_BURST);
        hedges = new RatioBudget(service.retry().hedgeRatio(), HEDGE_BURST);
    }
}
