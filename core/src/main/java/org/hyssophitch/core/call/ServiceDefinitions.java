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
import org.hyssophitch.core.retry.WindowBudget;
import org.hyssophitch.core.routing.ServerState;
import org.hyssophitch.core.timeline.EventBody;

/**
 * Brings configurations, registered backend servers and the size of the fleet into force. Not thread-safe.
 */
final class ServiceDefinitions {

    private static final long MICROS_PER_MILLI = 1_000;
    /** Seconds of questions for load that a server may get at once after a quiet time. */
    private static final double ASK_BURST_SECONDS = 8;

    private final EngineState state;
    private final CallFinisher finisher;

    ServiceDefinitions(EngineState state, CallFinisher finisher) {
        this.state = state;
        this.finisher = finisher;
    }

    /** Takes over a newer configuration; an older one is refused, and recorded. */
    void accept(Configuration accepted, long nowMicros) {
        if (!accepted.isNewerThan(state.configuration())) {
            state.recorder()
                    .record(
                            nowMicros,
                            "",
                            new EventBody.ConfigurationRefused(
                                    accepted.version(), state.configuration().version()));
            return;
        }
        state.setConfiguration(accepted);
        redefineAll(nowMicros);
        state.recorder()
                .record(nowMicros, "", new EventBody.ConfigurationInForce(accepted.version(), accepted.revisionId()));
    }

    /** Takes over the backend servers that registered themselves. */
    void register(Map<String, List<RegisteredServer>> servers, long nowMicros) {
        state.setRegistered(servers);
        redefineAll(nowMicros);
        servers.values()
                .forEach(l -> l.forEach(r -> {
                    ServerState s = state.servers().get(r.server().name());
                    if (s != null) {
                        s.setColdUntilMicros(nowMicros + r.coldMillis() * MICROS_PER_MILLI);
                    }
                }));
    }

    /** Takes this host's part of the limits that all entry hosts keep together. */
    void share(Map<String, Integer> hostsByZone, long nowMicros) {
        state.setHosts(hostsByZone);
        int hosts = state.hosts();
        state.fleet().ifPresent(f -> {
            state.services().values().forEach(s -> s.setSharedPart(f.repeatRatioPart(), f.repeatAllowancePart(hosts)));
            state.servers().values().forEach(s -> setAskRate(s, f, nowMicros));
        });
        redefineAll(nowMicros);
    }

    /** Takes over changed limits; the window of those on repeats stays as long as it was at the start. */
    void limit(FleetLimits limits, long nowMicros) {
        state.setFleet(limits);
        share(state.hostsByZone(), nowMicros);
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
        state.servers().keySet().retainAll(servers);
    }

    private void defineService(Service service, long nowMicros) {
        List<ServerState> servers = new ArrayList<>();
        service.servers().forEach(b -> servers.add(defineServer(b, nowMicros)));
        ServiceState known = state.services().get(service.name());
        if (known == null) {
            String zone = state.settings().zone();
            state.services().put(service.name(), new ServiceState(service, servers, zone, sharedBudget(nowMicros)));
        } else {
            known.redefine(service, servers, state.settings().zone());
        }
    }

    private Optional<WindowBudget> sharedBudget(long nowMicros) {
        return state.fleet()
                .map(f -> new WindowBudget(
                        f.repeatRatioPart(), f.repeatAllowancePart(state.hosts()), f.repeatWindowMicros(), nowMicros));
    }

    private ServerState defineServer(BackendServer server, long nowMicros) {
        int hosts = Math.max(state.configuration().maxEntryHosts(), state.hosts());
        int limit = server.attemptLimit(hosts);
        ServerState known = state.servers().computeIfAbsent(server.name(), n -> {
            ServerState created = new ServerState(server.withDraining(false), limit);
            state.fleet().ifPresent(f -> setAskRate(created, f, nowMicros));
            return created;
        });
        boolean wasLeaving = known.isLeaving();
        known.redefine(server, limit);
        recordLeaving(known, wasLeaving, "operator", nowMicros);
        return known;
    }

    private void setAskRate(ServerState server, FleetLimits fleet, long nowMicros) {
        String zone = server.server().zone();
        boolean isNear = zone.equals(state.settings().zone());
        double rate = fleet.asksPerSecondPart(state.hosts(), state.hosts(zone), isNear);
        server.setAskRate(rate, Math.max(1, rate * ASK_BURST_SECONDS), nowMicros);
    }

    /** Removes services; their waiting calls are answered at once, their running ones finish. */
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
        boolean isByRoute = call.request().terms() != CallTerms.NONE;
        return AttemptStarter.notRunReason(call, isByRoute ? Reason.NO_SERVER : Reason.UNKNOWN_SERVICE);
    }

    /** Records that a server turned from one that gets work into one that leaves. */
    void recordLeaving(ServerState server, boolean wasLeaving, String source, long nowMicros) {
        if (!wasLeaving && server.isLeaving()) {
            state.recorder().record(nowMicros, "", new EventBody.ServerLeaving(server.name(), source));
        }
    }
}
