package org.hyssophitch.core.call;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.hyssophitch.core.configuration.ColdRule;
import org.hyssophitch.core.configuration.RegisteredServer;
import org.hyssophitch.core.load.RendezvousHash;
import org.hyssophitch.core.routing.ServerState;
import org.hyssophitch.core.statement.ServerConditions;
import org.hyssophitch.core.statement.SharedLimit;
import org.hyssophitch.core.timeline.EventBody;

/**
 * Applies the limits of cold servers: which servers have one, since when, and which of them this host may use although
 * it knows no other host. Not thread-safe; owned by the call engine.
 */
final class ColdServers {

    /** Interval in microseconds at which limits are divided again: a share becomes usable some time after a change. */
    private static final long DIVIDE_INTERVAL_MICROS = 500_000;
    /** Part of a service's servers that a host uses while it knows no other host and all servers are cold. */
    private static final double LONE_FRACTION = 0.1;

    private static final String SOURCE = "REGISTRATION";

    private final EngineState state;
    private ColdBound bound = ColdBound.EXACT;
    private long nextDivideMicros;

    ColdServers(EngineState state) {
        this.state = state;
    }

    /** Sets how far the requests to a cold server may exceed its rate. */
    void setBound(ColdBound value, long nowMicros) {
        bound = value;
        update(Map.of(), nowMicros);
    }

    /** Applies the configuration and the registrations to the servers. */
    void update(Map<String, List<RegisteredServer>> registered, long nowMicros) {
        state.services().values().stream()
                .filter(s -> s.service().cold().hasLimit() || s.hasColdLimit())
                .forEach(s -> setLimits(s, nowMicros));
        registered.values().forEach(l -> l.forEach(r -> register(r, nowMicros)));
        updateOnlyChoices(nowMicros);
    }

    /** Divides the limits anew after a change of the entry hosts. */
    void onHostsChanged(long nowMicros) {
        state.conditions().views().add(state.knownHosts(), nowMicros);
        divide(nowMicros);
    }

    /** Adapts to the passing of time. */
    void onTime(long nowMicros) {
        if (nowMicros >= nextDivideMicros) {
            nextDivideMicros = nowMicros + DIVIDE_INTERVAL_MICROS;
            divide(nowMicros);
        }
    }

    private void divide(long nowMicros) {
        List<ServerConditions> cold = state.conditions().cold(nowMicros);
        cold.forEach(c -> c.cold().divide(nowMicros));
        if (!cold.isEmpty()) {
            updateOnlyChoices(nowMicros);
        }
    }

    private void setLimits(ServiceState service, long nowMicros) {
        ColdRule rule = service.service().cold();
        Optional<SharedLimit> limit =
                rule.hasLimit() ? Optional.of(bound.limit(rule.requestsPerSecond())) : Optional.empty();
        service.setHasColdLimit(rule.hasLimit());
        service.servers().forEach(s -> s.conditions().cold().setLimit(limit, nowMicros));
    }

    private void register(RegisteredServer r, long nowMicros) {
        ServerState s = state.servers().get(r.server().name());
        if (s != null && s.conditions().cold().onRegistered(r.coldMillis(), r.sequence(), nowMicros)) {
            String stated = s.conditions().describe(nowMicros);
            state.recorder().record(nowMicros, "", new EventBody.ServerStated(s.name(), stated, SOURCE));
        }
    }

    /** Where all servers of a service are cold, lets a host that knows no other one use some of them. */
    private void updateOnlyChoices(long nowMicros) {
        boolean isLone = state.conditions().views().isLone(nowMicros);
        state.services().values().stream()
                .filter(ServiceState::hasColdLimit)
                .forEach(s -> updateOnlyChoices(s, isLone, nowMicros));
    }

    private void updateOnlyChoices(ServiceState service, boolean isLone, long nowMicros) {
        List<ServerState> usable =
                service.servers().stream().filter(ServerState::isInService).toList();
        boolean isOnlyCold =
                isLone && usable.stream().allMatch(s -> s.conditions().cold().isLimited(nowMicros));
        Set<String> chosen = new HashSet<>();
        if (isOnlyCold) {
            int count = (int) Math.max(1, usable.size() * LONE_FRACTION);
            List<String> names = usable.stream().map(ServerState::name).toList();
            chosen.addAll(RendezvousHash.owners(state.settings().host(), names, count));
        }
        service.servers().forEach(s -> s.conditions().cold().setOnlyChoice(chosen.contains(s.name()), nowMicros));
    }
}
