package org.hyssophitch.core.call;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.configuration.RegisteredServer;
import org.hyssophitch.core.configuration.Service;
import org.hyssophitch.core.retry.SlidingWindowBudget;
import org.hyssophitch.core.routing.ServerState;
import org.hyssophitch.core.routing.ServerSubset;
import org.hyssophitch.core.timeline.EventBody;

/**
 * Applies changes of the configuration, the registered backend servers and the fleet to the engine's state. Not
 * thread-safe; owned by the call engine.
 */
final class ServiceDefinitions {

    private static final long MICROS_PER_MILLI = 1_000;
    /** Burst size of the load probe budget, in seconds of its rate. */
    private static final double PROBE_BURST_SECONDS = 8;

    private final EngineState state;
    private final CallFinisher finisher;
    private final ColdServers coldServers;

    ServiceDefinitions(EngineState state, CallFinisher finisher) {
        this.state = state;
        this.finisher = finisher;
        this.coldServers = new ColdServers(state);
    }

    /** Returns the limits of cold servers. */
    ColdServers coldServers() {
        return coldServers;
    }

    /** Applies a newer configuration and returns whether it did; refuses one that is not newer and records that. */
    boolean accept(Configuration accepted, long nowMicros) {
        if (!accepted.isNewerThan(state.configuration())) {
            state.recorder()
                    .record(
                            nowMicros,
                            "",
                            new EventBody.ConfigurationRefused(
                                    accepted.version(), state.configuration().version()));
            return false;
        }
        state.setConfiguration(accepted);
        redefineAll(nowMicros);
        coldServers.update(state.registered(), nowMicros);
        state.recorder()
                .record(nowMicros, "", new EventBody.ConfigurationInForce(accepted.version(), accepted.revisionId()));
        return true;
    }

    /** Applies a changed set of self-registered backend servers. */
    void register(Map<String, List<RegisteredServer>> servers, long nowMicros) {
        state.setRegistered(servers);
        redefineAll(nowMicros);
        servers.values()
                .forEach(l -> l.forEach(r -> {
                    ServerState s = state.servers().get(r.server().name());
                    if (s != null) {
                        s.setWarmUpEndMicros(nowMicros + r.coldMillis() * MICROS_PER_MILLI);
                    }
                }));
        coldServers.update(servers, nowMicros);
    }

    /** Applies a changed set of evacuated availability zones. */
    void evacuate(Set<String> zones, long nowMicros) {
        if (!zones.equals(state.evacuatedZones())) {
            state.setEvacuatedZones(zones);
            redefineAll(nowMicros);
            List<String> sorted = zones.stream().sorted().toList();
            state.recorder().record(nowMicros, "", new EventBody.ZonesEvacuated(sorted));
        }
    }

    /** Applies a changed number of entry hosts, which determines this host's share of the fleet-wide limits. */
    void applyFleetSize(Map<String, Integer> hostsByZone, long nowMicros) {
        state.setHosts(hostsByZone);
        int hosts = state.hosts();
        state.fleetLimits().ifPresent(f -> state.services()
                .values()
                .forEach(s -> s.setBudgetShare(f.extraAttemptRatioShare(), f.extraAttemptAllowanceShare(hosts))));
        redefineAll(nowMicros);
    }

    /** Applies changed fleet-wide limits; existing extra-attempt budgets keep the length of their window. */
    void applyLimits(FleetLimits limits, long nowMicros) {
        state.setFleetLimits(limits);
        applyFleetSize(state.hostsByZone(), nowMicros);
    }

    private void redefineAll(long nowMicros) {
        Set<String> names = new HashSet<>();
        Set<String> servers = new HashSet<>();
        state.configuration().withRegistered(state.registered()).services().forEach(s -> {
            names.add(s.name());
            s.servers().forEach(b -> servers.add(b.name()));
            defineService(s, nowMicros);
        });
        dropServices(names, nowMicros);
        state.servers().values().stream()
                .filter(s -> !servers.contains(s.name()) && !s.isLeaving())
                .forEach(s -> recordLeaving(s.name(), "removed", nowMicros));
        state.servers().keySet().retainAll(servers);
        state.conditions().retain(servers, nowMicros);
    }

    private void defineService(Service service, long nowMicros) {
        List<ServerState> servers = new ArrayList<>();
        service.servers().forEach(b -> servers.add(defineServer(b, nowMicros)));
        ServiceState known = state.services().get(service.name());
        ServerSubset subset = known != null && known.subset().isOf(servers)
                ? known.subset()
                : ServerSubset.of(state.settings().host(), state.settings().zone(), servers);
        state.fleetLimits().ifPresent(f -> servers.forEach(s -> setLoadProbeRate(s, f, subset, nowMicros)));
        if (known == null) {
            String zone = state.settings().zone();
            state.services()
                    .put(service.name(), new ServiceState(service, servers, subset, zone, sharedBudget(nowMicros)));
        } else {
            known.redefine(service, servers, subset, state.settings().zone());
        }
    }

    private Optional<SlidingWindowBudget> sharedBudget(long nowMicros) {
        return state.fleetLimits()
                .map(f -> new SlidingWindowBudget(
                        f.extraAttemptRatioShare(),
                        f.extraAttemptAllowanceShare(state.hosts()),
                        f.extraAttemptWindowMicros(),
                        nowMicros));
    }

    private ServerState defineServer(BackendServer server, long nowMicros) {
        int hosts = Math.max(state.configuration().maxEntryHosts(), state.hosts());
        int limit = server.attemptLimit(hosts);
        ServerState known = state.servers()
                .computeIfAbsent(
                        server.name(),
                        n -> new ServerState(
                                server.withDraining(false),
                                limit,
                                state.conditions().of(n)));
        boolean wasLeaving = known.isLeaving();
        known.redefine(server, limit);
        known.conditions().setZone(server.zone());
        known.setEvacuated(state.evacuatedZones().contains(server.zone()));
        recordLeaving(known, wasLeaving, "operator", nowMicros);
        return known;
    }

    private void setLoadProbeRate(ServerState server, FleetLimits fleet, ServerSubset subset, long nowMicros) {
        String zone = server.server().zone();
        boolean isSameZone = zone.equals(state.settings().zone());
        double rate =
                fleet.loadProbesPerSecondShare(state.hosts(), state.hosts(zone), isSameZone, subset.fraction(zone));
        server.setLoadProbeRate(rate, Math.max(1, rate * PROBE_BURST_SECONDS), nowMicros);
    }

    /** Removes services; their queued calls are rejected immediately, their calls in flight continue. */
    private void dropServices(Set<String> kept, long nowMicros) {
        List<ServiceState> dropped = state.services().values().stream()
                .filter(s -> !kept.contains(s.service().name()))
                .toList();
        dropped.forEach(s -> {
            state.services().remove(s.service().name());
            state.calls().values().stream()
                    .filter(c -> c.service() == s && c.attempts().isEmpty())
                    .toList()
                    .forEach(c -> finisher.answer(c, dropReason(c), nowMicros));
        });
    }

    private static Reason dropReason(ActiveCall call) {
        boolean hasRoute = call.request().policy() != CallPolicy.NONE;
        return AttemptStarter.notRunReason(call, hasRoute ? Reason.NO_SERVER : Reason.UNKNOWN_SERVICE);
    }

    /** Records that a server has started to leave. */
    void recordLeaving(ServerState server, boolean wasLeaving, String source, long nowMicros) {
        if (!wasLeaving && server.isLeaving()) {
            recordLeaving(server.name(), source, nowMicros);
        }
    }

    private void recordLeaving(String server, String source, long nowMicros) {
        state.recorder().record(nowMicros, "", new EventBody.ServerLeaving(server, source));
    }
}
