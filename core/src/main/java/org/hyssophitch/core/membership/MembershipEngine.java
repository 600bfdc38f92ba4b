package org.hyssophitch.core.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Tracks the membership of entry hosts by randomized heartbeats, indirect heartbeats, suspicion and refutation.
 *
 * <p>Not thread-safe; owned by the agent engine or by the event loop that sends its heartbeats. Each host sends a fixed
 * number of heartbeats per period, so its cost doesn't depend on the number of members.
 */
public final class MembershipEngine {

    /** Heartbeat period in microseconds. */
    public static final long HEARTBEAT_PERIOD_MICROS = 500_000;
    /** Default number of heartbeats per period, for networks on which traffic has no price. */
    public static final int HEARTBEATS_PER_PERIOD = 2;

    /** Maximum number of times that a process raises its incarnation. */
    private static final int MAX_INCARNATION_RAISES = 3;

    /** Time after a heartbeat without an answer at which indirect heartbeats are sent. */
    private static final long ACK_TIMEOUT_MICROS = 200_000;
    /** Time after a heartbeat without a direct or indirect answer at which the member is suspected. */
    private static final long INDIRECT_TIMEOUT_MICROS = 400_000;
    /** Time that a suspected member has to refute the suspicion. */
    private static final long SUSPICION_TIMEOUT_MICROS = 1_000_000;

    private static final long SUSPECT_CHECK_PERIOD_MICROS = 100_000;
    /** Time after its last change at which a member that is not live is removed. */
    private static final long REMOVAL_DELAY_MICROS = 600_000_000;

    /** Number of members asked to send an indirect heartbeat. */
    private static final int INDIRECT_HELPERS = 2;

    private record PendingPing(String host, long sentMicros, boolean isIndirectSent) {}

    private final Map<String, Member> members = new TreeMap<>();
    private final Map<String, Long> lastChangeMicros = new HashMap<>();
    private final Map<Long, PendingPing> pendingPings = new HashMap<>();
    private final Deque<String> heartbeatOrder = new ArrayDeque<>();
    private final RandomGenerator random;
    private final Consumer<Member> onChange;
    private final int heartbeatsPerPeriod;
    private Member self;
    private List<Member> memberList = List.of();
    private List<Member> liveList = List.of();
    private boolean hasSuspects;
    private boolean hasStopped;
    private boolean isMemberListStale = true;
    private int incarnationRaises;
    private long nextSuspectCheckMicros;
    private long nextPeriodMicros;
    private long sequence;

    /**
     * Creates the engine of a starting process that knows only itself, with the default number of heartbeats.
     *
     * @param self member record of this host
     * @param random seeded random generator
     * @param onChange called with each new or superseding record, which the owner gossips
     */
    public MembershipEngine(Member self, RandomGenerator random, Consumer<Member> onChange) {
        this(self, HEARTBEATS_PER_PERIOD, random, onChange);
    }

    /**
     * Creates the engine of a starting process that knows only itself.
     *
     * @param self member record of this host
     * @param heartbeatsPerPeriod heartbeats per period
     * @param random seeded random generator
     * @param onChange called with each new or superseding record, which the owner gossips
     */
    public MembershipEngine(Member self, int heartbeatsPerPeriod, RandomGenerator random, Consumer<Member> onChange) {
        this.heartbeatsPerPeriod = heartbeatsPerPeriod;
        this.self = self;
        this.random = random;
        this.onChange = onChange;
        isMemberListStale = true;
        members.put(self.host(), self);
    }

    /** Returns the member record of this host. */
    public Member self() {
        return self;
    }

    /** Returns a live view of all known members, including this host, ordered by name. */
    public Collection<Member> members() {
        return Collections.unmodifiableCollection(members.values());
    }

    /** Returns an immutable list of all known members, ordered by name; the same instance while there is no change. */
    public List<Member> all() {
        rebuildLists();
        return memberList;
    }

    /**
     * Returns an immutable list of the live members, including this host, ordered by name; the same instance while
     * there is no change.
     */
    public List<Member> live() {
        rebuildLists();
        return liveList;
    }

    private boolean hasSuspects() {
        rebuildLists();
        return hasSuspects;
    }

    private void rebuildLists() {
        if (isMemberListStale) {
            memberList = List.copyOf(members.values());
            liveList = memberList.stream().filter(Member::isLive).toList();
            hasSuspects = liveList.stream().anyMatch(m -> m.state() == MemberState.SUSPECT);
            hasStopped = liveList.size() < memberList.size();
            isMemberListStale = false;
        }
    }

    /** Finds a member by host name. */
    public Optional<Member> member(String host) {
        return Optional.ofNullable(members.get(host));
    }

    /** Replaces the record of this host, with a new revision, and reports it for gossip if it changed. */
    public void updateSelf(Member update) {
        if (!update.equals(self)) {
            putSelf(update.withRevision(self.revision() + 1));
        }
    }

    /** Replaces the record of this host without a new revision or gossip; receivers take it from its next messages. */
    public void updateSelfWithoutGossip(Member update) {
        if (!update.equals(self)) {
            self = update;
            isMemberListStale = true;
            members.put(self.host(), self);
        }
    }

    /** Merges a record received from another host; returns whether it changed this host's view. */
    public boolean merge(Member update, long nowMicros) {
        if (update.host().equals(self.host())) {
            return refute(update);
        }
        boolean isChange = put(update, nowMicros);
        if (isChange) {
            onChange.accept(update);
        }
        return isChange;
    }

    /**
     * Merges a record that every host reads for itself, so that it is not reported for gossip: in a large fleet whose
     * hosts all start at once, that would be one report for each pair of hosts.
     *
     * @return whether it changed this host's view
     */
    public boolean mergeListed(Member update, long nowMicros) {
        return update.host().equals(self.host()) ? refute(update) : put(update, nowMicros);
    }

    private boolean put(Member update, long nowMicros) {
        Member known = members.get(update.host());
        if (known != null && !update.supersedes(known)) {
            return false;
        }
        isMemberListStale = true;
        members.put(update.host(), update);
        lastChangeMicros.put(update.host(), nowMicros);
        return true;
    }

    /** Updates the status fields of a message's sender at an unchanged revision, such as its load; not gossiped. */
    public void refreshSender(Member update) {
        Member known = members.get(update.host());
        boolean isRefreshed = known != null
                && known.incarnation() == update.incarnation()
                && known.revision() == update.revision()
                && known.state() == MemberState.ALIVE
                && !known.equals(update);
        if (isRefreshed && update.state() == MemberState.ALIVE && !update.host().equals(self.host())) {
            isMemberListStale = true;
            members.put(update.host(), update);
        }
    }

    /** Advances timers and returns the heartbeats to send. */
    public List<Heartbeat> onTime(long nowMicros) {
        List<Heartbeat> out = new ArrayList<>();
        checkPendingPings(nowMicros, out);
        if (nowMicros >= nextSuspectCheckMicros) {
            nextSuspectCheckMicros = nowMicros + SUSPECT_CHECK_PERIOD_MICROS;
            checkSuspects(nowMicros);
        }
        if (nowMicros >= nextPeriodMicros) {
            nextPeriodMicros = nowMicros + HEARTBEAT_PERIOD_MICROS;
            startPeriod(nowMicros, out);
        }
        return out;
    }

    /** Handles a heartbeat and returns the heartbeats to send. */
    public List<Heartbeat> onHeartbeat(Heartbeat heartbeat, String senderAddress, long nowMicros) {
        return switch (heartbeat.kind()) {
            case PING -> List.of(heartbeat.answer(senderAddress));
            case PING_REQUEST -> pingOnBehalf(heartbeat);
            case ACK -> {
                acknowledge(heartbeat);
                yield heartbeat.forwardTo().isEmpty() ? List.of() : List.of(heartbeat.forward());
            }
        };
    }

    private List<Heartbeat> pingOnBehalf(Heartbeat request) {
        return member(request.target())
                .map(m -> List.of(new Heartbeat(
                        Heartbeat.Kind.PING, request.sequence(), m.host(), m.agentAddress(), request.forwardTo())))
                .orElse(List.of());
    }

    private void acknowledge(Heartbeat ack) {
        if (ack.forwardTo().isEmpty()) {
            pendingPings.remove(ack.sequence());
        }
    }

    private void startPeriod(long nowMicros, List<Heartbeat> out) {
        removeExpired(nowMicros);
        for (int i = 0; i < heartbeatsPerPeriod; i++) {
            nextHeartbeatTarget().ifPresent(m -> out.add(ping(m, nowMicros)));
        }
    }

    private Heartbeat ping(Member m, long nowMicros) {
        sequence++;
        pendingPings.put(sequence, new PendingPing(m.host(), nowMicros, false));
        return new Heartbeat(Heartbeat.Kind.PING, sequence, m.host(), m.agentAddress(), "");
    }

    /** Returns the next member in a shuffled order that covers every member before any member is repeated. */
    private Optional<Member> nextHeartbeatTarget() {
        if (heartbeatOrder.isEmpty()) {
            List<String> hosts =
                    new ArrayList<>(others().stream().map(Member::host).toList());
            for (int i = hosts.size() - 1; i > 0; i--) {
                Collections.swap(hosts, i, random.nextInt(i + 1));
            }
            heartbeatOrder.addAll(hosts);
        }
        return Optional.ofNullable(heartbeatOrder.poll())
                .flatMap(this::member)
                .filter(m -> m.state() != MemberState.LEFT);
    }

    /** Returns the other members that have not left; includes dead members, in case a network partition heals. */
    private List<Member> others() {
        return members.values().stream()
                .filter(m -> !m.host().equals(self.host()) && m.state() != MemberState.LEFT)
                .toList();
    }

    private void checkPendingPings(long nowMicros, List<Heartbeat> out) {
        if (pendingPings.isEmpty()) {
            return;
        }
        List.copyOf(pendingPings.entrySet()).forEach(e -> {
            PendingPing p = e.getValue();
            long elapsed = nowMicros - p.sentMicros();
            if (elapsed >= INDIRECT_TIMEOUT_MICROS) {
                pendingPings.remove(e.getKey());
                suspect(p.host(), nowMicros);
            } else if (elapsed >= ACK_TIMEOUT_MICROS && !p.isIndirectSent()) {
                pendingPings.put(e.getKey(), new PendingPing(p.host(), p.sentMicros(), true));
                out.addAll(requestIndirectPings(e.getKey(), p.host()));
            }
        });
    }

    private List<Heartbeat> requestIndirectPings(long pingSequence, String target) {
        List<Member> helpers = others().stream()
                .filter(m -> m.state() == MemberState.ALIVE && !m.host().equals(target))
                .toList();
        int count = Math.min(INDIRECT_HELPERS, helpers.size());
        return random.ints(0, Math.max(1, helpers.size()))
                .distinct()
                .limit(count)
                .mapToObj(helpers::get)
                .map(h -> new Heartbeat(
                        Heartbeat.Kind.PING_REQUEST, pingSequence, target, h.agentAddress(), self.agentAddress()))
                .toList();
    }

    private void suspect(String host, long nowMicros) {
        member(host)
                .filter(m -> m.state() == MemberState.ALIVE)
                .ifPresent(m -> merge(m.withState(MemberState.SUSPECT), nowMicros));
    }

    private void checkSuspects(long nowMicros) {
        if (!hasSuspects()) {
            return;
        }
        live().stream()
                .filter(m -> m.state() == MemberState.SUSPECT)
                .filter(m -> nowMicros - lastChangeMicros.getOrDefault(m.host(), nowMicros) >= SUSPICION_TIMEOUT_MICROS)
                .toList()
                .forEach(m -> merge(m.withState(MemberState.DEAD), nowMicros));
    }

    private void removeExpired(long nowMicros) {
        rebuildLists();
        if (!hasStopped) {
            return;
        }
        isMemberListStale |= members.values()
                .removeIf(m -> !m.isLive()
                        && nowMicros - lastChangeMicros.getOrDefault(m.host(), nowMicros) >= REMOVAL_DELAY_MICROS);
    }

    /**
     * Raises this host's incarnation above that of an earlier process of this host. If the clock was ahead when that
     * process started, the other hosts would treat this process as the older one. The number of raises is limited, so
     * that two processes started with the same host name by mistake don't raise their incarnations forever.
     *
     * @return whether this host now has the latest incarnation
     */
    public boolean raiseIncarnationAbove(long earlierIncarnation) {
        if (earlierIncarnation <= self.incarnation()) {
            return true;
        }
        if (incarnationRaises == MAX_INCARNATION_RAISES || self.state() != MemberState.ALIVE) {
            return false;
        }
        incarnationRaises++;
        putSelf(self.withIncarnation(earlierIncarnation + 1));
        return true;
    }

    /** Refutes a record that says this host is not running; returns whether this host then published a newer record. */
    private boolean refute(Member update) {
        if (update.incarnation() > self.incarnation()) {
            return raiseIncarnationAbove(update.incarnation());
        }
        boolean isOfThisProcess = update.incarnation() == self.incarnation();
        boolean isContradiction = update.state() != MemberState.ALIVE && self.state() == MemberState.ALIVE;
        if (isOfThisProcess && isContradiction && update.revision() >= self.revision()) {
            putSelf(self.withRevision(update.revision() + 1));
            return true;
        }
        return false;
    }

    private void putSelf(Member update) {
        self = update;
        isMemberListStale = true;
        members.put(self.host(), self);
        onChange.accept(self);
    }
}
