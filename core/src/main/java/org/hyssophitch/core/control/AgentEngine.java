package org.hyssophitch.core.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.hyssophitch.core.address.EntryHostSelector;
import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.configuration.RegisteredServer;
import org.hyssophitch.core.distribution.ConfigurationChange;
import org.hyssophitch.core.distribution.ConfigurationHistory;
import org.hyssophitch.core.health.SuspectTracker.Suspicion;
import org.hyssophitch.core.load.LoadReport;
import org.hyssophitch.core.load.ProbePlanner;
import org.hyssophitch.core.load.RendezvousHash;
import org.hyssophitch.core.membership.Heartbeat;
import org.hyssophitch.core.membership.Member;
import org.hyssophitch.core.membership.MemberState;
import org.hyssophitch.core.membership.MembershipEngine;
import org.hyssophitch.core.timeline.EventBody;
import org.hyssophitch.core.timeline.EventRecorder;

/**
 * State machine of the agent of one entry host: maps each {@link AgentEvent} to a list of {@link AgentAction}s.
 *
 * <p>Not thread-safe; one thread owns it for the lifetime of the process. It does no I/O; events carry the time.
 */
public final class AgentEngine {

    /** Number of entry hosts that watch the configuration at the object API. */
    public static final int CONFIGURATION_WATCHERS = 3;

    /** Number of members that a new update is sent to immediately. */
    private static final int GOSSIP_FANOUT = 3;

    private static final int LOAD_REPORTS_PER_MESSAGE = 12;
    private static final long PROXY_UPDATE_PERIOD_MICROS = 50_000;
    private static final long REJOIN_PERIOD_MICROS = 1_000_000;
    private static final long FETCH_RETRY_MICROS = 500_000;
    private static final String REPORT_SOURCE = "report";
    private static final String PLATFORM_SOURCE = "platform";

    private final RandomGenerator random;
    private final EventRecorder recorder;
    private final MembershipEngine membership;
    private final ConfigurationHistory history = new ConfigurationHistory();
    private final ProbePlanner planner;
    private final EntryHostSelector hostSelector;
    private final LoadReportTable loadReports = new LoadReportTable();
    private final LeavingServerTable leaving = new LeavingServerTable();
    private final RegistrationTable registrations = new RegistrationTable();
    private final AgentMessageBuilder messageBuilder;
    private final PendingProxyUpdate proxyUpdate = new PendingProxyUpdate();
    private List<AgentAction> actions = new ArrayList<>();
    private long nowMicros;
    private boolean hasUrgentGossip;
    private boolean hasServerChanges;
    private boolean isStopping;
    private long nextProxyUpdateMicros;
    /** Version of the configuration in the local proxy; -1 while no proxy is connected. */
    private long proxyVersion = -1;

    private long nextFetchMicros;
    private long newestVersionSeen;
    private int membershipEpoch = 1;
    private int watcherEpoch;
    private boolean isWatcher;
    private long nextRejoinMicros;
    private List<ListedHost> listedHosts = List.of();

    /**
     * Creates the engine of a starting agent.
     *
     * @param self initial member record of this host
     * @param random seeded random generator
     * @param recorder receives the timeline events
     * @param nowMicros current time in microseconds
     */
    public AgentEngine(Member self, RandomGenerator random, EventRecorder recorder, long nowMicros) {
        this.random = random;
        this.recorder = recorder;
        this.nowMicros = nowMicros;
        this.membership = new MembershipEngine(self, random, this::onMemberChange);
        this.planner = new ProbePlanner(self.host(), nowMicros);
        this.hostSelector = new EntryHostSelector(random);
        this.messageBuilder = new AgentMessageBuilder(random);
    }

    /** Handles one event and returns the actions to carry out, in order. */
    public List<AgentAction> handle(AgentEvent event) {
        nowMicros = event.nowMicros();
        switch (event) {
            case AgentEvent.TimePassed e -> onTime();
            case AgentEvent.MessageReceived e -> onMessage(e.message());
            case AgentEvent.ProxyReported e -> onProxyStatus(e.status());
            case AgentEvent.ProxyLost e -> onProxyLost();
            case AgentEvent.ConfigurationRead e -> accept(e.configuration());
            case AgentEvent.ChangeReceived e -> onChange(e.change());
            case AgentEvent.FetchFailed e -> nextFetchMicros = nowMicros;
            case AgentEvent.SeedsConfigured e -> contactHosts(e.seeds());
            case AgentEvent.HostListRead e -> onHostList(e.hosts());
            case AgentEvent.ProbeAnswered e -> addReport(e.report());
            case AgentEvent.StopRequested e -> stop();
            case AgentEvent.Left e -> membership.updateSelf(membership.self().withState(MemberState.LEFT));
        }
        if (hasServerChanges) {
            hasServerChanges = false;
            updateKnownServers();
        }
        if (hasUrgentGossip) {
            hasUrgentGossip = false;
            sendGossip();
        }
        List<AgentAction> taken = actions;
        actions = new ArrayList<>();
        return taken;
    }

    /** Returns the entry hosts for a caller in the given availability zone to use, in order of preference. */
    public List<Member> selectEntryHosts(String zone) {
        return hostSelector.select(membership.members(), zone, configuration().addresses());
    }

    /** Returns the configuration in force. */
    public Configuration configuration() {
        return history.inForce();
    }

    /** Returns the configuration changes since a version, for another agent. */
    public ConfigurationChange changeSince(long version) {
        return history.changeSince(version);
    }

    /** Returns all known members, this host included. */
    public List<Member> members() {
        return membership.all();
    }

    /** Returns the names of the leaving backend servers. */
    public Set<String> leavingServers() {
        return leaving.leaving();
    }

    /** Returns the backend servers that registered themselves. */
    public List<RegisteredServer> registeredServers() {
        return registrations.registered(nowMicros);
    }

    /** Returns whether this host is one of those that watch the configuration at the object API. */
    public boolean isWatcher() {
        if (watcherEpoch != membershipEpoch) {
            watcherEpoch = membershipEpoch;
            List<String> live = membership.live().stream().map(Member::host).toList();
            isWatcher = RendezvousHash.owners("configuration-watch", live, CONFIGURATION_WATCHERS)
                    .contains(membership.self().host());
        }
        return isWatcher;
    }

    private void onTime() {
        membership.onTime(nowMicros).forEach(this::sendHeartbeat);
        planner.due(membershipEpoch, membership::live, nowMicros)
                .forEach(s -> actions.add(new AgentAction.Probe(s, planner.healthPath(s))));
        fetchIfBehind();
        rejoinIfAlone();
        boolean isUpdateDue = nowMicros >= nextProxyUpdateMicros;
        if (isUpdateDue) {
            nextProxyUpdateMicros = nowMicros + PROXY_UPDATE_PERIOD_MICROS;
            updateProxy();
        }
    }

    private void onMessage(AgentMessage m) {
        membership.merge(m.sender(), nowMicros);
        membership.refreshSender(m.sender());
        newestVersionSeen = Math.max(newestVersionSeen, m.sender().configurationVersion());
        m.members().forEach(member -> membership.merge(member, nowMicros));
        m.loads().forEach(l -> addReport(l.toLoadReport(nowMicros)));
        m.leaving().forEach(this::addLeaving);
        addSuspicions(m.suspicions()).forEach(proxyUpdate::add);
        messageBuilder
                .buildMissing(membership.self(), m, nowMicros)
                .forEach(a -> actions.add(new AgentAction.Send(m.sender().agentAddress(), a)));
        m.registrations().forEach(this::addRegistration);
        m.heartbeat().ifPresent(h -> membership
                .onHeartbeat(h, m.sender().agentAddress(), nowMicros)
                .forEach(this::sendHeartbeat));
        fetchIfBehind();
    }

    private void onProxyStatus(ProxyStatus status) {
        Member self = membership.self();
        boolean isAccepting = status.isAccepting() && !isStopping;
        boolean isChanged = status.incarnation() != self.proxyIncarnation() || isAccepting != self.isAccepting();
        Member changed = self.withProxy(status.incarnation(), isAccepting, status.callsInFlight());
        if (isChanged) {
            membership.updateSelf(changed);
            proxyUpdate.markChanged();
        } else {
            membership.updateSelfWithoutGossip(changed);
        }
        if (status.configurationVersion() != proxyVersion
                || status.configurationVersion() < configuration().version()) {
            proxyVersion = status.configurationVersion();
            pushConfiguration();
        }
        status.loads().forEach(l -> addReport(l.toLoadReport(nowMicros)));
        addSuspicions(status.suspicions());
    }

    private void onProxyLost() {
        proxyVersion = -1;
        proxyUpdate.markRegistrationsChanged();
        proxyUpdate.setSuspicions(messageBuilder.knownSuspicions(nowMicros));
        Member self = membership.self();
        membership.updateSelf(self.withProxy(0, false, 0));
    }

    private void stop() {
        isStopping = true;
        Member self = membership.self();
        membership.updateSelf(self.withProxy(self.proxyIncarnation(), false, self.callsInFlight()));
    }

    private void onMemberChange(Member m) {
        membershipEpoch++;
        newestVersionSeen = Math.max(newestVersionSeen, m.configurationVersion());
        messageBuilder.add(m);
        hasUrgentGossip = true;
        proxyUpdate.markChanged();
        recorder.record(
                nowMicros,
                "",
                new EventBody.MemberChanged(m.host(), m.incarnation(), m.state().name()));
    }

    private void contactHosts(List<ListedHost> hosts) {
        listedHosts = hosts;
        hosts.forEach(this::onListedHost);
    }

    private void onHostList(List<ListedHost> hosts) {
        contactHosts(hosts);
        boolean isFirst = !registrations.isComplete();
        registrations.onHostList(hosts, nowMicros).forEach(this::addRegistration);
        if (isFirst) {
            proxyUpdate.markRegistrationsChanged();
        }
    }

    private void addRegistration(RegistrationNotice n) {
        if (registrations.add(n)) {
            messageBuilder.add(n);
            hasUrgentGossip = true;
            proxyUpdate.markRegistrationsChanged();
            String service = n.registration().map(RegisteredServer::service).orElse("");
            boolean isGone = n.registration().isEmpty();
            recorder.record(nowMicros, "", new EventBody.ServerRegistered(n.server(), service, isGone));
            hasServerChanges = true;
        }
    }

    /** Passes the known servers to the probe planner and drops data of others; runs at most once per event. */
    private void updateKnownServers() {
        Configuration known = configuration().withRegistered(registrations.byService(nowMicros));
        planner.onConfiguration(known, nowMicros);
        Set<String> servers = known.serversByName().keySet();
        loadReports.retain(servers);
        leaving.retain(servers);
    }

    /** Contacts the listed hosts again while no other live host is known. */
    private void rejoinIfAlone() {
        boolean mustRejoin = nowMicros >= nextRejoinMicros && membership.live().size() == 1;
        if (mustRejoin) {
            nextRejoinMicros = nowMicros + REJOIN_PERIOD_MICROS;
            listedHosts.forEach(this::onListedHost);
        }
    }

    private void onListedHost(ListedHost h) {
        boolean isEntryHost = !h.agentAddress().isEmpty();
        if (isEntryHost) {
            if (membership.member(h.name()).isEmpty()) {
                sendHeartbeat(new Heartbeat(Heartbeat.Kind.PING, 0, h.name(), h.agentAddress(), ""));
            }
            return;
        }
        if (h.isLeaving() != leaving.isLeaving(h.name(), PLATFORM_SOURCE)) {
            addLeaving(new LeavingNotice(h.name(), h.isLeaving(), nowMicros, PLATFORM_SOURCE));
        }
    }

    private void accept(Configuration candidate) {
        long inForce = configuration().version();
        if (!history.accept(candidate)) {
            if (candidate.version() < inForce) {
                recorder.record(nowMicros, "", new EventBody.ConfigurationRefused(candidate.version(), inForce));
            }
            return;
        }
        recorder.record(nowMicros, "", new EventBody.ConfigurationInForce(candidate.version(), candidate.revisionId()));
        hasServerChanges = true;
        membership.updateSelf(membership.self().withConfigurationVersion(candidate.version()));
        pushConfiguration();
    }

    private void onChange(ConfigurationChange change) {
        Optional<Configuration> result = history.apply(change);
        nextFetchMicros = nowMicros;
        result.ifPresent(this::accept);
    }

    private void fetchIfBehind() {
        long own = configuration().version();
        if (nowMicros < nextFetchMicros || newestVersionSeen <= own) {
            return;
        }
        List<Member> ahead = membership.live().stream()
                .filter(m -> m.configurationVersion() > own)
                .toList();
        if (!ahead.isEmpty()) {
            Member source = ahead.get(random.nextInt(ahead.size()));
            nextFetchMicros = nowMicros + FETCH_RETRY_MICROS;
            actions.add(new AgentAction.FetchConfiguration(source.agentAddress(), own));
        }
    }

    private void addReport(LoadReport r) {
        planner.onReport(r);
        boolean isNew = loadReports.add(r);
        if (isNew && r.draining() != leaving.isLeaving(r.server(), REPORT_SOURCE)) {
            addLeaving(new LeavingNotice(r.server(), r.draining(), r.takenMicros(), REPORT_SOURCE));
        }
    }

    private void addLeaving(LeavingNotice n) {
        if (leaving.add(n)) {
            messageBuilder.add(n);
            hasUrgentGossip = true;
            proxyUpdate.markChanged();
            recorder.record(
                    nowMicros, "", new EventBody.ServerLeaving(n.server(), n.source() + (n.isLeaving() ? "" : ":no")));
        }
    }

    /** Passes suspicions on to the other hosts, and returns those that are new. */
    private List<Suspicion> addSuspicions(List<Suspicion> found) {
        List<Suspicion> fresh = messageBuilder.add(found);
        hasUrgentGossip |= !fresh.isEmpty();
        return fresh;
    }

    private void updateProxy() {
        List<AgedLoadReport> changed = loadReports.takeChanged(nowMicros);
        if (proxyVersion < 0) {
            return;
        }
        proxyUpdate
                .take(members(), leaving.leaving(), changed, registrations, nowMicros)
                .ifPresent(u -> actions.add(new AgentAction.PushUpdate(u)));
    }

    private void pushConfiguration() {
        if (proxyVersion >= 0 && configuration().version() > proxyVersion) {
            proxyVersion = configuration().version();
            actions.add(new AgentAction.PushConfiguration(configuration()));
        }
    }

    private void sendGossip() {
        List<Member> live = new ArrayList<>(membership.live());
        live.removeIf(m -> m.host().equals(membership.self().host()));
        int count = Math.min(GOSSIP_FANOUT, live.size());
        random.ints(0, Math.max(1, live.size()))
                .distinct()
                .limit(count)
                .mapToObj(live::get)
                .forEach(m -> send(m.agentAddress(), Optional.empty()));
    }

    private void sendHeartbeat(Heartbeat h) {
        send(h.to(), Optional.of(h));
    }

    private void send(String address, Optional<Heartbeat> heartbeat) {
        AgentMessageBuilder.KnownState known =
                new AgentMessageBuilder.KnownState(membership.all(), leaving.all(), registrations.all(nowMicros));
        AgentMessage m = messageBuilder.build(
                membership.self(),
                heartbeat,
                loadReports.freshest(LOAD_REPORTS_PER_MESSAGE, nowMicros),
                known,
                nowMicros);
        actions.add(new AgentAction.Send(address, m));
    }
}
