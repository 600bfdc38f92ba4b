package org.hyssophitch.bench.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;

import org.HdrHistogram.Histogram;
import org.hyssophitch.core.atmostonce.IssuerView;
import org.hyssophitch.core.call.CallEvent;
import org.hyssophitch.core.call.EngineFeature;
import org.hyssophitch.core.call.EngineSettings;
import org.hyssophitch.core.call.FleetLimits;
import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.configuration.Service;
import org.hyssophitch.core.timeline.EventRecorder;
import org.hyssophitch.standin.CallRecord;
import org.hyssophitch.standin.Deployment;
import org.hyssophitch.standin.HistoryChecker;
import org.hyssophitch.standin.RunHistory;

/**
 * Simulation run of a deployment in virtual time: real call engines on all entry hosts, model servers and model
 * callers. Not thread-safe; used for one run.
 */
public final class ModelRun {

    /** Highest latency in microseconds that the histograms record; longer ones are clamped to it. */
    private static final long MAX_LATENCY_MICROS = 60_000_000;

    private static final long MICROS_PER_MILLI = 1_000;
    /** Target latency of a call as a multiple of its service's mean service time. */
    private static final int TARGET_SERVICE_TIME_MULTIPLE = 4;

    private static final long SUSPICION_SHARING_DELAY_MICROS = 2_000;
    private static final long FIRST_INCARNATION = 1;
    private static final int HISTOGRAM_DIGITS = 3;

    private final VirtualTime time = new VirtualTime();
    private final Deployment deployment;
    private final SplittableRandom random;
    private final Map<String, ModelServer> servers = new TreeMap<>();
    private final List<ModelEntryHost> hosts = new ArrayList<>();
    private final ModelGossip gossip = new ModelGossip(time, SUSPICION_SHARING_DELAY_MICROS, this::hosts);
    private final Map<ModelEntryHost, Long> incarnations = new HashMap<>();
    private final RunHistory runHistory = new RunHistory();
    private final Map<String, Histogram> latencies = new LinkedHashMap<>();
    private final List<CallRecord> calls = new ArrayList<>();
    private final Set<EngineFeature> features;
    private final Configuration configuration;
    private final Optional<FleetLimits> fleetLimits;
    private int serviceTimeFactor = 1;
    private boolean isTargetLatencyEnabled;
    private long callsWithinTarget;
    private long nextCallId;

    /**
     * Creates a run whose entry hosts all have the configuration and no fleet-wide limits.
     *
     * @param deployment deployment to model
     * @param seed seed of the random number generators
     * @param features enabled features of the call engines
     * @param serviceOverrides applied to the configuration of each service
     */
    public ModelRun(
            Deployment deployment, long seed, Set<EngineFeature> features, UnaryOperator<Service> serviceOverrides) {
        this(deployment, seed, features, serviceOverrides, Optional.empty());
    }

    /**
     * Creates a run whose entry hosts all have the configuration, with optional fleet-wide limits.
     *
     * @param deployment deployment to model
     * @param seed seed of the random number generators
     * @param features enabled features of the call engines
     * @param serviceOverrides applied to the configuration of each service
     * @param fleetLimits limits that the entry hosts share; required for load probes
     */
    public ModelRun(
            Deployment deployment,
            long seed,
            Set<EngineFeature> features,
            UnaryOperator<Service> serviceOverrides,
            Optional<FleetLimits> fleetLimits) {
        this.fleetLimits = fleetLimits;
        this.deployment = deployment;
        this.random = new SplittableRandom(seed);
        this.features = features;
        this.configuration = configuration(deployment, serviceOverrides);
        deployment.servers().forEach(s -> servers.put(s.name(), newServer(s)));
        deployment.entryHosts().forEach(h -> hosts.add(newHost(h.name(), h.zone(), FIRST_INCARNATION)));
        deployment
                .services()
                .forEach(s -> latencies.put(s.name(), new Histogram(MAX_LATENCY_MICROS, HISTOGRAM_DIGITS)));
        publishTicketIssuers();
        Map<String, Integer> hostsByZone = deployment.entryHosts().stream()
                .collect(Collectors.groupingBy(Deployment.EntryHost::zone, Collectors.summingInt(h -> 1)));
        hosts.forEach(h -> h.handle(new CallEvent.FleetChanged(time.nowMicros(), hostsByZone)));
    }

    public VirtualTime time() {
        return time;
    }

    public Deployment deployment() {
        return deployment;
    }

    /** Returns a server by name, or null if there is none. */
    public ModelServer server(String name) {
        return servers.get(name);
    }

    /** Returns the entry hosts, including dead ones that were not replaced. */
    public List<ModelEntryHost> hosts() {
        return hosts;
    }

    /** Returns the history of requests that the servers ran. */
    public RunHistory runHistory() {
        return runHistory;
    }

    /** Returns the total number of server crashes so far. */
    public int crashes() {
        return servers.values().stream().mapToInt(ModelServer::epoch).sum();
    }

    /** Returns the number of load probes sent by the current entry hosts. */
    public long loadProbes() {
        return hosts.stream().mapToLong(ModelEntryHost::loadProbes).sum();
    }

    /** Returns the records of the calls that have ended. */
    public List<CallRecord> calls() {
        return calls;
    }

    /** Returns the histogram of call latencies in microseconds of one service. */
    public Histogram latency(String service) {
        return latencies.get(service);
    }

    /** Returns the violations of the correctness invariants so far. */
    public List<HistoryChecker.Violation> violations() {
        return HistoryChecker.check(calls, runHistory.serversByRequest());
    }

    /** Runs until a virtual time in microseconds. */
    public void runUntil(long endMicros) {
        time.runUntil(endMicros);
    }

    /** Sends the set of leaving servers to every entry host without delay. */
    public void announceLeaving(Set<String> leaving) {
        hosts.forEach(h -> h.handle(new CallEvent.LeavingChanged(time.nowMicros(), leaving, "platform")));
    }

    /** Kills an entry host, starts one of the same name with a new incarnation, and informs the other hosts. */
    public void replace(ModelEntryHost old) {
        old.kill();
        int index = hosts.indexOf(old);
        hosts.set(index, newHost(old.name(), old.zone(), FIRST_INCARNATION + time.nowMicros() + 1));
        publishTicketIssuers();
    }

    /** Sets the factor on all service times; must be called before requests arrive. */
    public void setServiceTimeFactor(int value) {
        serviceTimeFactor = value;
    }

    /** Sets whether callers specify a target latency. */
    public void setTargetLatencyEnabled(boolean value) {
        isTargetLatencyEnabled = value;
    }

    boolean isTargetLatencyEnabled() {
        return isTargetLatencyEnabled;
    }

    /** Returns the mean service time of a request in microseconds. */
    long meanServiceMicros(Deployment.ServiceSpec service) {
        return service.meanServiceMillis() * MICROS_PER_MILLI * serviceTimeFactor;
    }

    /** Returns the latency in microseconds within which a call should be answered. */
    long targetLatencyMicros(Deployment.ServiceSpec service) {
        return meanServiceMicros(service) * TARGET_SERVICE_TIME_MULTIPLE;
    }

    /** Returns the number of calls that completed within their target latency. */
    public long callsWithinTarget() {
        return callsWithinTarget;
    }

    SplittableRandom random() {
        return random;
    }

    long nextCallId() {
        nextCallId++;
        return nextCallId;
    }

    void recordCall(CallRecord call) {
        calls.add(call);
        long target = deployment.services().stream()
                .filter(s -> s.name().equals(call.service()))
                .mapToLong(this::targetLatencyMicros)
                .findFirst()
                .orElseThrow();
        callsWithinTarget +=
                call.lastOutcome() == CallRecord.AttemptOutcome.COMPLETED && call.elapsedMicros() <= target ? 1 : 0;
        latencies.get(call.service()).recordValue(Math.min(MAX_LATENCY_MICROS, call.elapsedMicros()));
    }

    /** Sends the incarnations of the live entry hosts, which issue tickets, to every entry host. */
    public void publishTicketIssuers() {
        Map<String, Long> live = hosts.stream()
                .filter(h -> !h.isDead())
                .collect(Collectors.toMap(ModelEntryHost::name, incarnations::get));
        IssuerView view = host -> live.getOrDefault(host, IssuerView.GONE);
        hosts.forEach(h -> h.handle(new CallEvent.TicketIssuersChanged(time.nowMicros(), view)));
    }

    private ModelServer newServer(Deployment.Server s) {
        ModelServer.ServiceTimeSampler exponential =
                (id, r) -> -Math.log(1 - r.nextDouble()) * meanServiceMicros(s.service());
        return new ModelServer(
                s.name(), s.zone(), ServerBehaviour.DEFAULT, exponential, time, runHistory, random.split());
    }

    private ModelEntryHost newHost(String name, String zone, long incarnation) {
        EngineSettings base = new EngineSettings(name, zone, incarnation).withFeatures(features);
        EngineSettings settings = fleetLimits.map(base::withFleetLimits).orElse(base);
        ModelEntryHost host = new ModelEntryHost(settings, time, servers, random.split(), EventRecorder.NONE, gossip);
        incarnations.put(host, incarnation);
        host.handle(new CallEvent.ConfigurationAccepted(time.nowMicros(), configuration));
        return host;
    }

    private static Configuration configuration(Deployment d, UnaryOperator<Service> serviceOverrides) {
        Configuration read = DeploymentConfiguration.of(d);
        return read.withVersion(1)
                .withServices(read.services().stream().map(serviceOverrides).toList());
    }
}
