package org.hyssophitch.core.call;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.hyssophitch.core.admission.TeamWeights;
import org.hyssophitch.core.atmostonce.IssuerView;
import org.hyssophitch.core.atmostonce.TicketRegistry;
import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.configuration.RegisteredServer;
import org.hyssophitch.core.health.SuspectTracker;
import org.hyssophitch.core.quota.HostQuotas;
import org.hyssophitch.core.routing.ServerSelector;
import org.hyssophitch.core.routing.ServerState;
import org.hyssophitch.core.statement.ConditionTable;
import org.hyssophitch.core.statement.KnownHosts;
import org.hyssophitch.core.timeline.EventBody;
import org.hyssophitch.core.timeline.EventRecorder;

/**
 * State shared by the components of a call engine. Not thread-safe; owned by one {@link CallEngine}.
 */
final class EngineState {

    enum TimerKind {
        DEADLINE,
        HEDGE,
        /** Probes the server of a running attempt for a slowdown. */
        CHECK,
        /** Ends a probe round or starts the next one. */
        ROUND
    }

    record Timer(long atMicros, long callId, int attempt, TimerKind kind) {}

    private EngineSettings settings;
    private final RandomGenerator random;
    private final ServerSelector selector;
    private final EventRecorder recorder;
    private final TicketRegistry tickets;
    private final SuspectTracker suspects;
    private final CrashDetector crashDetector = new CrashDetector(this);
    private final CutOffDetector cutOffDetector = new CutOffDetector(this);
    private final CallForwarder forwarder = new CallForwarder(this);
    private final CallerCheck callerCheck = new CallerCheck(this);
    private final Map<String, ServiceState> services = new HashMap<>();
    private final Map<String, ServerState> servers = new HashMap<>();
    private final Map<Long, ActiveCall> calls = new HashMap<>();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparingLong(Timer::atMicros).thenComparingLong(Timer::callId));
    private Configuration configuration = Configuration.NONE;
    private TeamWeights teamWeights = TeamWeights.NONE;
    private IssuerView issuers = host -> IssuerView.GONE;
    private int bulkInFlight;
    private final ConditionTable conditions = new ConditionTable();
    private Map<String, Integer> hostsByZone = Map.of();
    private KnownHosts knownHosts;
    private Map<String, List<RegisteredServer>> registered = Map.of();
    private final HostQuotas quotas;
    private Set<String> evacuatedZones = Set.of();
    private List<CallAction> actions = new ArrayList<>();

    EngineState(EngineSettings settings, RandomGenerator random, EventRecorder recorder) {
        this.settings = settings;
        this.random = random;
        this.selector = new ServerSelector(random);
        this.recorder = recorder;
        this.suspects = settings.fleetLimits().isPresent() ? SuspectTracker.strict() : new SuspectTracker();
        this.knownHosts = KnownHosts.ofSelf(settings.host(), settings.zone(), minHosts());
        this.quotas =
                new HostQuotas(settings.host(), settings.incarnation(), minHosts(), settings.quotaTolerance(), random);
        conditions.views().add(knownHosts, 0);
        this.tickets = new TicketRegistry(settings.host(), settings.incarnation());
    }

    /** Records that a call is queued for server capacity. */
    void recordQueued(ActiveCall call, long nowMicros) {
        ServiceState service = call.service();
        record(
                nowMicros,
                call,
                new EventBody.CallQueued(
                        service.service().name(), service.queue().size()));
    }

    EngineSettings settings() {
        return settings;
    }

    /** Returns the fleet-wide limits; empty when each service has its own budgets. */
    Optional<FleetLimits> fleetLimits() {
        return settings.fleetLimits();
    }

    /** Replaces the fleet-wide limits; has no effect when there are none. */
    void setFleetLimits(FleetLimits value) {
        settings = settings.fleetLimits().isPresent() ? settings.withFleetLimits(value) : settings;
    }

    boolean isOn(EngineFeature feature) {
        return settings.isOn(feature);
    }

    ServerSelector selector() {
        return selector;
    }

    RandomGenerator random() {
        return random;
    }

    Map<String, Integer> hostsByZone() {
        return hostsByZone;
    }

    /** Returns the number of entry hosts that share the fleet-wide limits. */
    int hosts() {
        return hostsByZone.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Returns the number of entry hosts in an availability zone. */
    int hosts(String zone) {
        return hostsByZone.getOrDefault(zone, 0);
    }

    void setHosts(Map<String, Integer> value) {
        hostsByZone = Map.copyOf(value);
    }

    /** Returns the conditions that backend servers have stated. */
    ConditionTable conditions() {
        return conditions;
    }

    /** Returns the entry hosts that share the limits that backend servers state. */
    KnownHosts knownHosts() {
        return knownHosts;
    }

    void setKnownHosts(Map<String, String> zoneByHost) {
        knownHosts = knownHosts.withOthers(zoneByHost);
    }

    /** Returns the availability zones to whose backend servers nothing more is sent. */
    Set<String> evacuatedZones() {
        return evacuatedZones;
    }

    void setEvacuatedZones(Set<String> value) {
        evacuatedZones = Set.copyOf(value);
    }

    /** Returns the smallest number of entry hosts to assume. */
    int minHosts() {
        return settings.fleetLimits().map(FleetLimits::minHosts).orElse(configuration.maxEntryHosts());
    }

    /** Returns the self-registered backend servers by service name. */
    Map<String, List<RegisteredServer>> registered() {
        return registered;
    }

    void setRegistered(Map<String, List<RegisteredServer>> value) {
        registered = value;
    }

    EventRecorder recorder() {
        return recorder;
    }

    TicketRegistry tickets() {
        return tickets;
    }

    CrashDetector crashDetector() {
        return crashDetector;
    }

    CallForwarder forwarder() {
        return forwarder;
    }

    CallerCheck callerCheck() {
        return callerCheck;
    }

    CutOffDetector cutOffDetector() {
        return cutOffDetector;
    }

    SuspectTracker suspects() {
        return suspects;
    }

    Map<String, ServiceState> services() {
        return services;
    }

    Map<String, ServerState> servers() {
        return servers;
    }

    Map<Long, ActiveCall> calls() {
        return calls;
    }

    PriorityQueue<Timer> timers() {
        return timers;
    }

    Configuration configuration() {
        return configuration;
    }

    /**
     * Returns whether waiting calls are rejected by the forecast of their wait: where teams compete for a service.
     * Without teams a burst of calls to servers with few slots was served worse with it (docs/design/contention.md).
     */
    boolean usesWaitForecast() {
        return isOn(EngineFeature.WAIT_FORECAST) && !configuration.teams().isEmpty();
    }

    /** Returns the weights of the teams in the order of waiting calls. */
    TeamWeights teamWeights() {
        return teamWeights;
    }

    void setConfiguration(Configuration value) {
        configuration = value;
        teamWeights = isOn(EngineFeature.FAIR_ORDER) ? TeamWeights.of(value.teams()) : TeamWeights.NONE;
        knownHosts = knownHosts.withMinCount(minHosts());
    }

    /** Returns the quotas that this host owns or uses. */
    HostQuotas quotas() {
        return quotas;
    }

    IssuerView issuers() {
        return issuers;
    }

    void setIssuers(IssuerView value) {
        issuers = value;
    }

    int bulkInFlight() {
        return bulkInFlight;
    }

    void addBulkInFlight(int change) {
        bulkInFlight += change;
    }

    void emit(CallAction action) {
        actions.add(action);
    }

    List<CallAction> takeActions() {
        List<CallAction> taken = actions;
        actions = new ArrayList<>();
        return taken;
    }

    void record(long nowMicros, ActiveCall call, EventBody body) {
        recorder.record(nowMicros, call.request().requestId(), body);
    }
}
