package org.hyssophitch.bench.day;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.hyssophitch.bench.day.DayPlan.RequestKind;
import org.hyssophitch.bench.day.DayPlan.ServicePlan;
import org.hyssophitch.bench.day.DayPlan.WorkTime;
import org.hyssophitch.bench.model.ModelEntryHost;
import org.hyssophitch.bench.model.ModelServer;
import org.hyssophitch.bench.model.VirtualTime;
import org.hyssophitch.core.call.CallEvent;
import org.hyssophitch.core.call.EngineSettings;
import org.hyssophitch.core.configuration.AddressRule;
import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.configuration.ProbeBudget;
import org.hyssophitch.core.configuration.RegisteredServer;
import org.hyssophitch.core.configuration.RoutingKind;
import org.hyssophitch.core.configuration.Service;
import org.hyssophitch.core.entry.RequestRouter;
import org.hyssophitch.core.entry.ServiceDefaults;
import org.hyssophitch.standin.RunHistory;

/**
 * The servers and entry hosts of a day: who is there, who knows what of whom, and when. Not thread-safe; one run owns
 * it.
 */
final class DayFleet {

    /** Time in microseconds until the entry hosts know of a server that came, is leaving or went. */
    private static final long NEWS_MICROS = 50_000;
    /** Time in microseconds until the entry hosts know that one of them is gone or back. */
    private static final long FLEET_NEWS_MICROS = 1_000_000;
    /** Time in microseconds for which a leaving server still takes work. */
    private static final long DRAIN_MICROS = 3_000_000;

    private static final int CONNECTION_LIMIT = 220;
    private static final long MICROS_PER_MILLI = 1_000;
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final char KIND_END = '#';

    /** A server as it is known to the entry hosts. */
    private record Registered(ServicePlan service, ModelServer server, boolean isLeaving) {}

    private final DayPlan plan;
    private final VirtualTime time = new VirtualTime();
    private final SplittableRandom random;
    private final RunHistory runs = new RunHistory();
    private final Configuration configuration;
    private final Map<String, RequestKind> kinds;
    private final RepeatWatch repeats = new RepeatWatch();
    private final Map<String, ModelServer> servers = new TreeMap<>();
    private final Map<String, Registered> registry = new TreeMap<>();
    private final List<DayHost> hosts = new ArrayList<>();
    private final Map<String, Integer> serverNumbers = new HashMap<>();
    private long requests;
    private long questionsOfDeadHosts;

    /**
     * Creates the fleet as it is before the first request: all servers warm, all hosts informed.
     *
     * @param plan the day
     * @param policy how the hosts choose servers
     * @param random randomness of the whole fleet
     */
    DayFleet(DayPlan plan, RoutingKind policy, SplittableRandom random) {
        this.plan = plan;
        this.random = random;
        this.kinds = plan.kinds().stream().collect(Collectors.toMap(RequestKind::name, k -> k));
        this.configuration = configuration(plan, policy);
        plan.services().forEach(s -> s.groups().forEach(g -> {
            for (int i = 0; i < g.count(); i++) {
                addServer(s, g.zone());
            }
        }));
        plan.zones().forEach(z -> {
            for (int i = 1; i <= z.hosts(); i++) {
                hosts.add(newHost(z.name() + "-" + i, z.name()));
            }
        });
        informOfHosts();
    }

    VirtualTime time() {
        return time;
    }

    RunHistory runs() {
        return runs;
    }

    /** Returns the entry hosts, dead ones included. */
    List<DayHost> hosts() {
        return hosts;
    }

    /** Returns the questions for load that all hosts have sent. */
    long questions() {
        return questionsOfDeadHosts
                + hosts.stream().mapToLong(h -> h.host().loadProbes()).sum();
    }

    /** Returns what watches the attempts of all hosts. */
    RepeatWatch repeats() {
        return repeats;
    }

    /** Names a new request, so that servers know its kind. */
    String nextRequestId(RequestKind kind) {
        requests++;
        return kind.name() + KIND_END + requests;
    }

    /** Returns the number of the latest request. */
    long latestRequest() {
        return requests;
    }

    /** Returns the servers that take work, of one service or, with an empty name, of all. */
    List<ModelServer> serversOf(String service) {
        Predicate<Registered> isMeant =
                r -> service.isEmpty() || r.service().name().equals(service);
        return registry.values().stream()
                .filter(isMeant.and(r -> !r.isLeaving()))
                .map(Registered::server)
                .toList();
    }

    /** Adds a server of the same service and zone that has just started; the entry hosts get to know of it. */
    void startLike(ModelServer server) {
        addServer(registry.get(server.name()).service(), server.zone()).startWarmUp();
        time.after(NEWS_MICROS, this::informOfServers);
    }

    /** Lets a server leave: the entry hosts get to know of it, and it is gone later. */
    void leave(ModelServer server) {
        registry.computeIfPresent(server.name(), (n, r) -> new Registered(r.service(), r.server(), true));
        time.after(NEWS_MICROS, this::informOfServers);
        time.after(DRAIN_MICROS, () -> {
            registry.remove(server.name());
            server.crash(Long.MAX_VALUE / 2);
            informOfServers();
        });
    }

    /** Kills a host, which starts again after a time in microseconds. */
    void kill(DayHost victim, long downMicros) {
        victim.host().kill();
        time.after(FLEET_NEWS_MICROS, this::informOfHosts);
        time.after(downMicros, () -> {
            questionsOfDeadHosts += victim.host().loadProbes();
            hosts.set(hosts.indexOf(victim), newHost(victim.host().name(), victim.zone()));
            time.after(FLEET_NEWS_MICROS, this::informOfHosts);
        });
    }

    private ModelServer addServer(ServicePlan service, String zone) {
        String name = service.name() + "-" + serverNumbers.merge(service.name(), 1, Integer::sum);
        ModelServer server =
                new ModelServer(name, zone, service.behaviour(), this::workMicros, time, runs, random.split());
        server.startSpeedChanges();
        servers.put(name, server);
        registry.put(name, new Registered(service, server, false));
        return server;
    }

    private double workMicros(String requestId, SplittableRandom r) {
        WorkTime work =
                kinds.get(requestId.substring(0, requestId.indexOf(KIND_END))).work();
        double body = Math.exp(work.spread() * r.nextGaussian() - work.spread() * work.spread() / 2);
        boolean isTail = r.nextDouble() < work.tailPart();
        return work.meanMillis() * MICROS_PER_MILLI * body * (isTail ? work.tailFactor() : 1);
    }

    private DayHost newHost(String name, String zone) {
        long incarnation = time.nowMicros() + 1;
        EngineSettings settings = new EngineSettings(name, zone, incarnation).withFleetLimits(plan.limits());
        ModelEntryHost host = new ModelEntryHost(
                settings,
                time,
                servers,
                random.split(),
                repeats,
                s -> time.after(
                        NEWS_MICROS,
                        () -> hosts.forEach(h ->
                                h.host().handle(new CallEvent.SuspicionsReceived(time.nowMicros(), s.suspicions())))));
        RequestRouter router = new RequestRouter(random.split());
        router.accept(configuration);
        host.handle(new CallEvent.ConfigurationAccepted(time.nowMicros(), configuration));
        host.handle(registered());
        return new DayHost(host, router);
    }

    private void informOfServers() {
        hosts.forEach(h -> h.host().handle(registered()));
    }

    private void informOfHosts() {
        Map<String, Integer> live = hosts.stream()
                .filter(h -> !h.isDead())
                .collect(Collectors.groupingBy(DayHost::zone, Collectors.summingInt(h -> 1)));
        hosts.forEach(h -> h.host().handle(new CallEvent.FleetChanged(time.nowMicros(), live)));
    }

    private CallEvent.ServersRegistered registered() {
        return new CallEvent.ServersRegistered(
                time.nowMicros(),
                registry.values().stream()
                        .map(DayFleet::entry)
                        .collect(Collectors.groupingBy(RegisteredServer::service)));
    }

    private static RegisteredServer entry(Registered r) {
        ModelServer s = r.server();
        BackendServer server = new BackendServer(
                s.name(), "", 0, s.zone(), r.service().behaviour().slots(), CONNECTION_LIMIT, r.isLeaving(), s.name());
        return new RegisteredServer(r.service().name(), server, (int) (s.remainingWarmUpMicros() / MICROS_PER_MILLI));
    }

    private static Configuration configuration(DayPlan plan, RoutingKind policy) {
        List<Service> services = plan.services().stream()
                .map(s -> Service.builder(s.name()).build())
                .toList();
        Configuration named =
                new Configuration(1, "", hostCount(plan), ProbeBudget.DEFAULT, AddressRule.DEFAULT, services);
        return ServiceDefaults.applyTo(
                named.withRoutes(plan.kinds().stream().map(RequestKind::route).toList()), policy);
    }

    private static int hostCount(DayPlan plan) {
        return plan.zones().stream().mapToInt(DayPlan.Zone::hosts).sum();
    }
}
