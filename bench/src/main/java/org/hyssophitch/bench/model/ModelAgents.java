package org.hyssophitch.bench.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.configuration.RegisteredServer;
import org.hyssophitch.core.control.AgentAction;
import org.hyssophitch.core.control.AgentEvent;
import org.hyssophitch.core.control.ProxyUpdate;
import org.hyssophitch.core.distribution.ConfigurationChange;
import org.hyssophitch.core.load.LoadReport;
import org.hyssophitch.core.membership.Member;
import org.hyssophitch.core.timeline.HybridTimestamp;
import org.hyssophitch.wire.codec.AgentMessageCodec;
import org.hyssophitch.wire.codec.FrameCodec;

/**
 * Model of all agents on a network that delays, drops, duplicates and reorders messages, and that can be partitioned.
 * Not thread-safe; used for one run.
 */
public final class ModelAgents {

    /** Minimum one-way network delay in microseconds. */
    static final long MIN_DELAY_MICROS = 500;

    private static final long DELAY_JITTER_MICROS = 2_000;
    private static final int SEED_COUNT = 3;
    private static final HybridTimestamp CLOCK = new HybridTimestamp(1_796_000_000_000_000L, 1);

    private final VirtualTime time = new VirtualTime();
    private final ModelStore store = new ModelStore();
    private final Map<String, ModelAgent> agents = new TreeMap<>();
    private final List<ModelAgent> all = new ArrayList<>();
    private final Map<String, Integer> probes = new HashMap<>();
    private final Map<String, Set<String>> leavingByHost = new HashMap<>();
    private final Map<String, Map<String, RegisteredServer>> registeredByHost = new HashMap<>();
    private final Set<String> draining = new HashSet<>();
    private final SplittableRandom random;
    private final List<String> zones;
    private final double lossRate;
    private final double duplicationRate;
    private long bytesSent;
    private long largestDatagram;

    /**
     * Creates and starts the agents.
     *
     * @param count number of agents
     * @param zones availability zones to which the agents are assigned in turn
     * @param seed seed of the random number generators
     * @param lossRate fraction of datagrams that are lost
     * @param duplicationRate fraction of datagrams that are sent twice
     */
    public ModelAgents(int count, List<String> zones, long seed, double lossRate, double duplicationRate) {
        this.random = new SplittableRandom(seed);
        this.zones = zones;
        this.lossRate = lossRate;
        this.duplicationRate = duplicationRate;
        for (int i = 0; i < count; i++) {
            start(String.format("entry-%03d", i));
        }
    }

    public VirtualTime time() {
        return time;
    }

    public ModelStore store() {
        return store;
    }

    /** Returns the latest agent process of a host. */
    public ModelAgent agent(int index) {
        return agents.get(String.format("entry-%03d", index));
    }

    /** Returns all agent processes that were ever started, including dead ones. */
    public List<ModelAgent> all() {
        return all;
    }

    /** Returns the agents that are neither dead nor suspended. */
    public List<ModelAgent> running() {
        return agents.values().stream().filter(ModelAgent::isRunning).toList();
    }

    /** Starts an agent on a host and kills the previous one there, if any. */
    public ModelAgent start(String host) {
        int number = Integer.parseInt(host.substring(host.indexOf('-') + 1));
        String zone = zones.get(number % zones.size());
        Optional.ofNullable(agents.get(host)).ifPresent(ModelAgent::kill);
        ModelAgent agent = new ModelAgent(host, zone, this, random.split());
        agents.put(host, agent);
        all.add(agent);
        time.after(random.nextLong(DELAY_JITTER_MICROS), agent::start);
        return agent;
    }

    /** Returns the total size in bytes of the datagrams and configuration frames that agents have sent. */
    public long bytesSent() {
        return bytesSent;
    }

    /** Returns the size in bytes of the largest datagram so far. */
    public long largestDatagram() {
        return largestDatagram;
    }

    /** Returns the number of probes that each backend server received. */
    public Map<String, Integer> probes() {
        return probes;
    }

    /** Returns the backend servers that the proxy of a host knows to be leaving. */
    public Set<String> leavingAt(String host) {
        return leavingByHost.getOrDefault(host, Set.of());
    }

    /** Returns the registered servers that the proxy of a host knows. */
    public Set<String> registeredAt(String host) {
        return registeredByHost.getOrDefault(host, Map.of()).keySet();
    }

    /** Returns whether a configuration version is in force in every running agent and its proxy. */
    public boolean isInForceEverywhere(long version) {
        return running().stream()
                .allMatch(a -> a.engine().configuration().version() == version && a.proxyVersion() == version);
    }

    /** Returns whether every running agent's live members are exactly the running agents. */
    public boolean isMembershipConverged() {
        List<String> running = running().stream().map(ModelAgent::host).toList();
        return running().stream().allMatch(a -> a.engine().members().stream()
                .filter(Member::isLive)
                .map(Member::host)
                .toList()
                .equals(running));
    }

    List<String> seeds() {
        return agents.keySet().stream().limit(SEED_COUNT).toList();
    }

    void send(ModelAgent from, AgentAction.Send s) {
        int size = AgentMessageCodec.encode(s.message(), CLOCK).getSerializedSize();
        bytesSent += size;
        largestDatagram = Math.max(largestDatagram, size);
        int copies = random.nextDouble() < duplicationRate ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            boolean isLost = random.nextDouble() < lossRate;
            long delay = MIN_DELAY_MICROS + random.nextLong(DELAY_JITTER_MICROS);
            if (!isLost) {
                time.after(delay, () -> reachableAgent(from, s.address())
                        .ifPresent(a -> a.handle(new AgentEvent.MessageReceived(time.nowMicros(), s.message()))));
            }
        }
    }

    void fetch(ModelAgent from, AgentAction.FetchConfiguration f) {
        time.after(MIN_DELAY_MICROS, () -> {
            Optional<ModelAgent> source = reachableAgent(from, f.address()).filter(ModelAgent::isRunning);
            if (source.isEmpty()) {
                from.handle(new AgentEvent.FetchFailed(time.nowMicros()));
                return;
            }
            ConfigurationChange change = source.get().engine().changeSince(f.haveVersion());
            bytesSent += FrameCodec.encode(change, CLOCK).getSerializedSize();
            time.after(MIN_DELAY_MICROS, () -> from.handle(new AgentEvent.ChangeReceived(time.nowMicros(), change)));
        });
    }

    /** Lets a backend server report that it is draining. */
    public void setDraining(String server) {
        draining.add(server);
    }

    /** Returns the current load report of a backend server. */
    public LoadReport loadReport(String server) {
        return new LoadReport(server, 0, time.nowMicros(), draining.contains(server));
    }

    void onProbe(String server) {
        probes.merge(server, 1, Integer::sum);
    }

    void onUpdate(ModelAgent agent, ProxyUpdate update) {
        leavingByHost.put(agent.host(), update.leaving());
        update.registrations()
                .ifPresent(r -> r.applyTo(registeredByHost.computeIfAbsent(agent.host(), h -> new HashMap<>())));
    }

    /** Writes a configuration if the stored version is the expected one, and returns it with its new version. */
    public Optional<Configuration> accept(Configuration candidate, long expectedVersion) {
        return store.write(candidate, expectedVersion);
    }

    private Optional<ModelAgent> reachableAgent(ModelAgent from, String address) {
        return Optional.ofNullable(agents.get(address)).filter(a -> a.partition() == from.partition());
    }
}
