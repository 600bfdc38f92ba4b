package org.hyssophitch.entry;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import org.hyssophitch.core.call.CallEvent;
import org.hyssophitch.core.call.FleetNews;
import org.hyssophitch.core.call.FleetView;
import org.hyssophitch.core.control.AgedLimitNews;
import org.hyssophitch.core.control.AgentMessage;
import org.hyssophitch.core.control.GossipBuffer;
import org.hyssophitch.core.control.SuspicionExchange;
import org.hyssophitch.core.entry.EntryHost;
import org.hyssophitch.core.entry.EntrySettings;
import org.hyssophitch.core.health.Clearance;
import org.hyssophitch.core.health.SettledFlag;
import org.hyssophitch.core.health.SuspectTracker.Suspicion;
import org.hyssophitch.core.membership.Heartbeat;
import org.hyssophitch.core.membership.Member;
import org.hyssophitch.core.membership.MemberState;
import org.hyssophitch.core.membership.MembershipEngine;
import org.hyssophitch.core.quota.QuotaAsk;
import org.hyssophitch.core.quota.QuotaGrant;
import org.hyssophitch.core.statement.LimitNews;
import org.hyssophitch.core.store.StoredObject;
import org.hyssophitch.core.timeline.EventBody;
import org.hyssophitch.core.timeline.EventRecorder;
import org.hyssophitch.core.timeline.HybridClock;
import org.hyssophitch.wire.codec.AgentMessageCodec;
import org.hyssophitch.wire.concurrent.WallClock;
import org.hyssophitch.wire.generated.Wire;
import org.hyssophitch.wire.net.Addresses;
import org.hyssophitch.wire.net.DatagramEndpoint;
import org.tinylog.Logger;

/**
 * Membership of the entry hosts: discovers them in the store, detects failures by heartbeats, and spreads member
 * changes and suspicions by gossip over datagrams. Not thread-safe; confined to the event loop, except {@link #open}.
 */
final class Peers implements FleetNews {

    static final long TICK_INTERVAL_MILLIS = 250;
    /** Number of datagrams that carry each gossip item. */
    private static final int GOSSIP_TRANSMISSIONS = 6;

    private static final int MAX_GOSSIP_PER_DATAGRAM = 8;
    /** Heartbeats per protocol period; only one, because traffic between availability zones is billed. */
    private static final int HEARTBEATS_PER_PERIOD = 1;
    /** Maximum number of random members that urgent gossip is sent to immediately. */
    private static final int URGENT_GOSSIP_FANOUT = 3;

    /** Time in microseconds after which callers are led away from a host that is cut off. */
    private static final long CUT_OFF_SETTLING_MICROS = 300_000;
    /** Time in microseconds after which callers are led back to a host that reaches servers again. */
    private static final long RETURN_SETTLING_MICROS = 1_000_000;

    private final EventLoop loop;
    private final HybridClock clock = new HybridClock();
    private final MembershipEngine membership;
    private final GossipBuffer<Member> memberGossip = new GossipBuffer<>(GOSSIP_TRANSMISSIONS);
    private final SuspicionExchange suspicions;
    private final FleetView fleetView;
    private final GossipBuffer<LimitNews> limitGossip = new GossipBuffer<>(GOSSIP_TRANSMISSIONS);
    private final QuotaMail quotaMail;
    private final EventRecorder recorder;
    private final RandomGenerator random;
    private final LocalHost localHost;
    private final StaleConfigurationDetector staleConfiguration = new StaleConfigurationDetector();
    private DatagramEndpoint endpoint;
    private boolean isAccepting;
    private List<Runnable> checks = List.of();
    private final SettledFlag cutOff = new SettledFlag(CUT_OFF_SETTLING_MICROS, RETURN_SETTLING_MICROS);

    Peers(
            EntrySettings settings,
            long incarnation,
            EventLoop loop,
            RandomGenerator random,
            EventRecorder recorder,
            LocalHost localHost) {
        this.loop = loop;
        this.random = random;
        this.suspicions = new SuspicionExchange(random);
        this.fleetView = new FleetView(settings.host(), MemberRecords::forwardingHost);
        this.quotaMail = new QuotaMail(loop, this::sendQuotas);
        this.recorder = recorder;
        this.localHost = localHost;
        this.membership = new MembershipEngine(
                MemberRecords.ofListed(new EntryHost(
                                settings.host(),
                                incarnation,
                                settings.zone(),
                                settings.addresses().peers(),
                                settings.addresses().front()))
                        .withFormat(Member.FORMAT),
                HEARTBEATS_PER_PERIOD,
                random,
                this::onMemberChanged);
    }

    /** Opens the datagram socket; must not be called on the event loop. */
    void open(EventLoopGroup group) {
        String local = membership.self().agentAddress();
        endpoint = new DatagramEndpoint(group, Addresses.parse(local), this::onDatagram);
    }

    /** Registers gauges of what couldn't be received or sent; the socket must be open. */
    void registerGauges(EntryMetrics metrics) {
        metrics.registerGauge("hyssophitch_datagrams_malformed", "datagrams that were dropped", endpoint::malformed);
        metrics.registerGauge(
                "hyssophitch_datagrams_undeliverable",
                "parts of messages to other hosts that fit into no datagram",
                endpoint::undeliverable);
    }

    /**
     * Starts the heartbeat timer.
     *
     * @param newChecks checks of other duties that run with each heartbeat, as a timer of their own would wake the
     *     process more often
     */
    void start(Runnable... newChecks) {
        checks = List.of(newChecks);
        RepeatedTask heartbeat = new RepeatedTask("heartbeat", this::tick);
        loop.scheduleWithFixedDelay(heartbeat, TICK_INTERVAL_MILLIS, TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns this host's entry as it is registered in the store. */
    EntryHost self() {
        Member m = membership.self();
        return new EntryHost(m.host(), m.incarnation(), m.zone(), m.agentAddress(), m.proxyAddress());
    }

    /**
     * Raises this process's incarnation above that of an earlier process of this host.
     *
     * @return whether this process now has the highest incarnation
     */
    boolean raiseIncarnationAbove(long incarnation) {
        return membership.raiseIncarnationAbove(incarnation);
    }

    /**
     * Merges the entry hosts listed in the store into the membership, and announces this host if there were new ones:
     * it may have begun to accept callers before it knew anybody to tell.
     */
    void onListed(Map<String, StoredObject<EntryHost>> objects) {
        long now = WallClock.nowMicros();
        long changed = objects.values().stream()
                .flatMap(o -> o.value().stream())
                .filter(h -> membership.mergeListed(MemberRecords.ofListed(h), now))
                .count();
        if (changed > 0) {
            Logger.info("{} entry hosts listed, {} of them new", objects.size(), changed);
            sendUrgentGossip();
        }
        updateFleetSize();
    }

    /** Announces to the other hosts a change in whether this host accepts callers. */
    void refreshReadiness() {
        boolean isReady = localHost.isReady();
        if (isReady != isAccepting) {
            isAccepting = isReady;
            updateSelf();
            sendUrgentGossip();
        }
    }

    /** Announces to the other hosts that this process is leaving. */
    void leave() {
        membership.updateSelf(membership.self().withState(MemberState.LEFT));
        sendUrgentGossip();
    }

    @Override
    public void shareCutOff(boolean isCutOff) {
        cutOff.set(isCutOff, WallClock.nowMicros());
        updateForwardingHosts();
    }

    @Override
    public void shareLimit(LimitNews news, boolean isUrgent) {
        limitGossip.add(news.server(), news);
        if (isUrgent) {
            sendUrgentGossip();
        }
    }

    @Override
    public void shareSuspicions(List<Suspicion> found) {
        suspicions.add(found);
        sendUrgentGossip();
    }

    @Override
    public void shareClearance(Clearance clearance) {
        suspicions.clear(List.of(clearance), WallClock.nowMicros());
    }

    @Override
    public void askQuota(String host, QuotaAsk ask) {
        quotaMail.add(host, ask);
    }

    @Override
    public void answerQuota(String host, QuotaGrant grant) {
        quotaMail.add(host, grant);
    }

    /** Returns the live entry hosts, including this one. */
    List<Member> live() {
        return membership.live();
    }

    /** Returns the live entry hosts that accept callers, including this one. */
    List<Member> accepting() {
        return membership.live().stream().filter(Member::isAccepting).toList();
    }

    /** Returns the members that are known to have stopped. */
    List<Member> dead() {
        return membership.members().stream().filter(m -> !m.isLive()).toList();
    }

    private void onMemberChanged(Member m) {
        memberGossip.add(m.host(), m);
        fleetView.onMemberChanged(m, WallClock.nowMicros());
        recorder.record(
                WallClock.nowMicros(),
                "",
                new EventBody.MemberChanged(m.host(), m.incarnation(), m.state().name()));
    }

    private void updateSelf() {
        membership.updateSelf(membership
                .self()
                .withConfigurationVersion(localHost.configurationVersion())
                .withProxy(membership.self().proxyIncarnation(), isAccepting, 0));
    }

    private void tick() {
        checks.forEach(Runnable::run);
        refreshReadiness();
        if (membership.self().configurationVersion() != localHost.configurationVersion()) {
            membership.updateSelfWithoutGossip(
                    membership.self().withConfigurationVersion(localHost.configurationVersion()));
        }
        membership.onTime(WallClock.nowMicros()).forEach(h -> send(h.to(), Optional.of(h)));
        updateFleetSize();
        announceCutOff();
        updateForwardingHosts();
        if (staleConfiguration.isStale(membership.live(), localHost.configurationVersion())) {
            localHost.onStaleConfiguration();
        }
    }

    private void updateFleetSize() {
        fleetView.update(membership.all(), WallClock.nowMicros()).forEach(localHost::onEvent);
        if (localHost.hasQuotas()) {
            shareQuotaHosts();
        }
    }

    /** Tells the engine which hosts own quotas of teams, if they changed. */
    void shareQuotaHosts() {
        fleetView.updateQuotaHosts(membership.all(), WallClock.nowMicros()).forEach(localHost::onEvent);
    }

    /** Tells the other hosts whether this one is cut off from all backend servers, once that has lasted. */
    private void announceCutOff() {
        boolean isCutOff = cutOff.settled(WallClock.nowMicros());
        if (isCutOff != membership.self().isCutOff()) {
            membership.updateSelf(membership.self().withCutOff(isCutOff));
            sendUrgentGossip();
        }
    }

    private void updateForwardingHosts() {
        fleetView
                .updateForwardingHosts(membership.all(), cutOff.current(), WallClock.nowMicros())
                .forEach(localHost::onEvent);
    }

    private void sendUrgentGossip() {
        List<Member> others = membership.live().stream()
                .filter(m -> !m.host().equals(membership.self().host()))
                .toList();
        Stream.generate(() -> others.get(random.nextInt(others.size())))
                .limit(others.isEmpty() ? 0 : URGENT_GOSSIP_FANOUT)
                .distinct()
                .forEach(m -> send(m.agentAddress(), Optional.empty()));
    }

    private void send(String to, Optional<Heartbeat> heartbeat) {
        long now = WallClock.nowMicros();
        List<AgedLimitNews> limits = limitGossip.take(MAX_GOSSIP_PER_DATAGRAM).stream()
                .map(n -> AgedLimitNews.of(n, now))
                .toList();
        send(
                to,
                AgentMessage.builder(membership.self())
                        .heartbeat(heartbeat)
                        .members(memberGossip.take(MAX_GOSSIP_PER_DATAGRAM))
                        .suspicions(suspicions.take(MAX_GOSSIP_PER_DATAGRAM, now))
                        .clearances(suspicions.takeClearances(MAX_GOSSIP_PER_DATAGRAM))
                        .limits(limits)
                        .storeReachableMicros(storeReachableMicros(now))
                        .repeatedSuspicions(OptionalInt.of(suspicions.repeatedCount()))
                        .build());
    }

    private void sendQuotas(String host, List<QuotaAsk> asks, List<QuotaGrant> grants) {
        membership
                .member(host)
                .ifPresent(m -> send(
                        m.agentAddress(),
                        AgentMessage.builder(membership.self())
                                .quotaAsks(asks)
                                .quotaGrants(grants)
                                .build()));
    }

    private OptionalLong storeReachableMicros(long now) {
        OptionalLong since = localHost.storeReachableSinceMicros();
        return since.isPresent() ? OptionalLong.of(Math.max(0, now - since.getAsLong())) : since;
    }

    private void send(String to, AgentMessage message) {
        endpoint.send(to, AgentMessageCodec.encode(message, clock.tick(WallClock.nowMicros())));
    }

    private void onDatagram(Wire.AgentDatagram datagram) {
        long now = WallClock.nowMicros();
        AgentMessage message = AgentMessageCodec.decode(datagram);
        if (message.sender().host().isEmpty() || !MemberRecords.hasUsableAddresses(message.sender())) {
            Logger.warn("dropped a peer datagram that names no sender host or no address of it");
            return;
        }
        membership.merge(message.sender(), now);
        membership.refreshSender(message.sender());
        // A host of an earlier build passes on members as the store lists them.
        message.members().stream().filter(MemberRecords::hasUsableAddresses).forEach(m -> membership.merge(m, now));
        message.storeReachableMicros().ifPresent(t -> localHost.onStoreReachedSince(now - t));
        receiveClearances(message.clearances(), now);
        receiveSuspicions(message.suspicions(), now);
        sendMissingSuspicions(message, now);
        MessageEvents.of(message, now).forEach(localHost::onEvent);
        message.heartbeat().ifPresent(h -> membership
                .onHeartbeat(h, message.sender().agentAddress(), now)
                .forEach(a -> send(a.to(), Optional.of(a))));
    }

    private void sendMissingSuspicions(AgentMessage received, long now) {
        suspicions
                .missing(received.repeatedSuspicions(), now)
                .forEach(page -> send(
                        received.sender().agentAddress(),
                        AgentMessage.builder(membership.self()).suspicions(page).build()));
    }

    private void receiveClearances(List<Clearance> received, long now) {
        List<Clearance> fresh = suspicions.clear(received, now);
        if (!fresh.isEmpty()) {
            localHost.onEvent(new CallEvent.ClearancesReceived(now, fresh));
        }
    }

    private void receiveSuspicions(List<Suspicion> received, long now) {
        List<Suspicion> fresh = suspicions.add(received);
        if (fresh.isEmpty()) {
            return;
        }
        localHost.onEvent(new CallEvent.SuspicionsReceived(now, fresh));
        if (fresh.stream().anyMatch(suspicions::isUrgent)) {
            sendUrgentGossip();
        }
    }
}
