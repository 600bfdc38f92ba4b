package org.hyssophitch.bench.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.hyssophitch.core.call.CallEvent;
import org.hyssophitch.core.call.CallPolicy;
import org.hyssophitch.core.call.CallRequest;
import org.hyssophitch.core.call.EngineSettings;
import org.hyssophitch.core.call.FleetLimits;
import org.hyssophitch.core.call.FleetNews;
import org.hyssophitch.core.configuration.AddressRule;
import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.configuration.ProbeBudget;
import org.hyssophitch.core.configuration.RegisteredServer;
import org.hyssophitch.core.configuration.RoutingKind;
import org.hyssophitch.core.configuration.Service;
import org.hyssophitch.core.entry.ServiceDefaults;
import org.hyssophitch.core.timeline.EventRecorder;
import org.hyssophitch.standin.RunHistory;

/** Entry hosts with the limits of the users' platform in front of one service. Not thread-safe; owned by one run. */
public final class ModelFleet {

    private static final String SERVICE = "s";
    private static final int ZONES = 3;
    private static final int SLOTS = 3;
    private static final int CONNECTION_LIMIT = 1_200;
    private static final long TARGET_MICROS = 300_000;
    private static final long DEADLINE_MICROS = 2_500_000;
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final FleetLimits LIMITS = new FleetLimits(0.2, 50, 10 * MICROS_PER_SECOND, 60, 13);

    private final VirtualTime time;
    private final SplittableRandom random;
    private final Configuration configuration = configuration();
    private final Map<String, ModelServer> servers = new TreeMap<>();
    private final List<ModelEntryHost> hosts = new ArrayList<>();
    private long calls;

    /**
     * Creates a fleet without hosts and servers.
     *
     * @param time clock and scheduler of the run
     * @param random random number generator of the run
     */
    public ModelFleet(VirtualTime time, SplittableRandom random) {
        this.time = time;
        this.random = random;
    }

    /** Returns the name of a server. */
    public static String serverName(int index) {
        return SERVICE + index;
    }

    public List<ModelEntryHost> hosts() {
        return hosts;
    }

    public ModelServer server(int index) {
        return servers.get(serverName(index));
    }

    /** Adds a server; servers come before hosts. */
    public void addServer(ModelServer.ServiceTimeSampler serviceTime, RunHistory history) {
        int index = servers.size();
        String name = serverName(index);
        servers.put(
                name,
                new ModelServer(
                        name, zone(index), ServerBehaviour.DEFAULT, serviceTime, time, history, random.split()));
    }

    /** Adds a host, or starts the host with this index again after killing it. */
    public ModelEntryHost startHost(int index, EventRecorder recorder, FleetNews news) {
        String name = "h" + index;
        ModelEntryHost host = new ModelEntryHost(
                new EngineSettings(name, zone(index), time.nowMicros() + 1).withFleetLimits(LIMITS),
                time,
                servers,
                random.split(),
                recorder,
                news);
        host.handle(new CallEvent.ConfigurationAccepted(time.nowMicros(), configuration));
        host.handle(new CallEvent.ServersRegistered(time.nowMicros(), Map.of(SERVICE, registered())));
        if (index == hosts.size()) {
            hosts.add(host);
        } else {
            hosts.get(index).kill();
            hosts.set(index, host);
        }
        return host;
    }

    /** Tells every host which hosts there are. */
    public void publishHosts() {
        Map<String, Integer> byZone =
                hosts.stream().collect(Collectors.groupingBy(ModelEntryHost::zone, Collectors.summingInt(h -> 1)));
        Map<String, String> zones =
                hosts.stream().collect(Collectors.toMap(ModelEntryHost::name, ModelEntryHost::zone));
        hosts.forEach(h -> {
            h.handle(new CallEvent.FleetChanged(time.nowMicros(), byZone));
            h.handle(new CallEvent.HostsChanged(time.nowMicros(), zones));
        });
    }

    /** Sends requests with random gaps to random hosts from now on. */
    public void sendRequests(double perSecond, Consumer<ModelEntryHost.Answer> onAnswer) {
        double seconds = -Math.log(1 - random.nextDouble()) / perSecond;
        time.after((long) (seconds * MICROS_PER_SECOND), () -> {
            send("r" + (calls + 1), "f" + (calls + 1), onAnswer);
            sendRequests(perSecond, onAnswer);
        });
    }

    /** Sends one idempotent request to a random host. */
    public void send(String requestId, String fingerprint, Consumer<ModelEntryHost.Answer> onAnswer) {
        calls++;
        long now = time.nowMicros();
        CallPolicy policy = new CallPolicy(2, 1, now + TARGET_MICROS, TARGET_MICROS);
        CallRequest request = new CallRequest(
                calls,
                requestId,
                SERVICE,
                true,
                Optional.empty(),
                now + DEADLINE_MICROS,
                0,
                true,
                true,
                fingerprint,
                policy);
        hosts.get(random.nextInt(hosts.size())).call(request, onAnswer);
    }

    private List<RegisteredServer> registered() {
        return IntStream.range(0, servers.size())
                .mapToObj(this::server)
                .map(s -> new BackendServer(s.name(), "", 0, s.zone(), SLOTS, CONNECTION_LIMIT, false, s.name()))
                .map(s -> new RegisteredServer(SERVICE, s, 0))
                .toList();
    }

    private static String zone(int index) {
        return "z" + index % ZONES;
    }

    private static Configuration configuration() {
        Configuration base = new Configuration(
                1,
                "",
                1,
                ProbeBudget.DEFAULT,
                AddressRule.DEFAULT,
                List.of(Service.builder(SERVICE).build()));
        return ServiceDefaults.applyTo(base, RoutingKind.ASKED_LOAD);
    }
}
