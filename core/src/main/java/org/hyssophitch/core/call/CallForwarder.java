package org.hyssophitch.core.call;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.routing.ServerState;

/**
 * Chooses the entry host that a call is forwarded to while this host is cut off from all backend servers. Not
 * thread-safe; owned by the call engine.
 *
 * <p>A call is forwarded once at most. Of two random hosts that reach servers, the one with fewer calls of this host
 * takes it, so that the calls spread over all of them; the calls in flight, at each and in total, are limited.
 */
final class CallForwarder {

    private static final int MAX_CALLS_PER_HOST = 32;
    /** Bounds the memory that forwarded calls take on this host. */
    private static final int MAX_CALLS = 256;

    private static final int COMPARED_HOSTS = 2;

    private final EngineState state;
    private Map<String, ServerState> hosts = Map.of();

    CallForwarder(EngineState state) {
        this.state = state;
    }

    /** Replaces the hosts that calls may be forwarded to. */
    void setHosts(List<BackendServer> newHosts) {
        hosts = newHosts.stream().map(this::state).collect(Collectors.toMap(ServerState::name, Function.identity()));
    }

    /** Returns the host that takes a call; empty if this host isn't cut off, or no host can take the call. */
    Optional<ServerState> choose(ActiveCall call, long nowMicros) {
        boolean isAllowed = state.cutOffDetector().isCutOff() && !call.request().isForwarded() && call.mayStart();
        int inFlight = hosts.values().stream().mapToInt(ServerState::inFlight).sum();
        if (!isAllowed || inFlight >= MAX_CALLS) {
            return Optional.empty();
        }
        List<ServerState> usable = hosts.values().stream()
                .filter(h -> h.isEligible(nowMicros) && !h.isRefusing(nowMicros))
                .filter(h -> !call.tried().contains(h.name()))
                .toList();
        if (usable.isEmpty()) {
            return Optional.empty();
        }
        return state.random()
                .ints(COMPARED_HOSTS, 0, usable.size())
                .mapToObj(usable::get)
                .reduce((a, b) -> a.inFlight() <= b.inFlight() ? a : b);
    }

    private ServerState state(BackendServer host) {
        ServerState known = hosts.get(host.name());
        return known != null && known.server().equals(host) ? known : ServerState.ofEntryHost(host, MAX_CALLS_PER_HOST);
    }
}
