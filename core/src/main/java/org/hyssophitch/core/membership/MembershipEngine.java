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
 * Membership of entry hosts by randomized heartbeats, indirect heartbeats, suspicion and refutation.
 *
 * <p>Not thread-safe; owned by the agent engine. Each period a fixed number of members gets a heartbeat, so the cost
 * per host doesn't depend on their number.
 */
public final class MembershipEngine {

    /** Time between two rounds of heartbeats in microseconds. */
    public static final long HEARTBEAT_PERIOD_MICROS = 500_000;
    /** Heartbeats per round where datagrams have no price. */
    public static final int HEARTBEATS_PER_PERIOD = 2;

    /** Times that a process may raise its incarnation. */
    private static final int MAX_SUCCESSIONS = 3;

    private static final long ACK_TIMEOUT_MICROS = 200_000;
    private static final long INDIRECT_TIMEOUT_MICROS = 400_000;
    private static final long SUSPICION_MICROS = 1_000_000;
    private static final long CHECK_MICROS = 100_000;
    private static final long FORGET_MICROS = 600_000_000;
    private static final int INDIRECT_HELPERS = 2;

    private record Pending(String host, long sentMicros, boolean isIndirectSent) {}

    private final Map<String, Member> members = new TreeMap<>();
    private final Map<String, Long> changedMicros = new HashMap<>();
    private final Map<Long, Pending> pending = new HashMap<>();
    private final Deque<String> turn = new ArrayDeque<>();
    private final RandomGenerator random;
    private final Consumer<Member> onChange;
    private final int heartbeats;
    private Member self;
    private List<Member> all = List.of();
    private boolean isAllStale = true;
    private int successions;
    private long nextCheckMicros;
    private long nextRoundMicros;
    private long sequence;

    /**
     * Creates the membership of a starting agent, which knows itself only.
     *
     * @param self this host's own statement
     * @param random seeded source of randomness
     * @param onChange told of each statement that replaces an older one, so that it can be spread
     */
    public MembershipEngine(Member self, RandomGenerator random, Consumer<Member> onChange) {
        this(self, HEARTBEATS_PER_PERIOD, random, onChange);
    }

    /**
     * Creates the membership of a starting process, which knows itself only.
     *
     * @param self this host's own statement
     * @param heartbeats heartbeats per round
     * @param random seeded source of randomness
     * @param onChange told of each statement that replaces an older one, so that it can be spread
     */
    public MembershipEngine(Member self, int heartbeats, RandomGenerator random, Consumer<Member> onChange) {
        this.heartbeats = heartbeats;
        this.self = self;
        this.random = random;
        this.onChange = onChange;
        isAllStale = true;
        members.put(self.host(), self);
    }

    /** Returns this host's own statement. */
    public Member self() {
        return self;
    }

    /** Returns every known member, this host included, ordered by name. */
    public Collection<Member> members() {
        return Collections.unmodifiableCollection(members.values());
    }

    /** Returns every known member as a list, which is rebuilt only after a change. */
    public List<Member> all() {
        if (isAllStale) {
            all = List.copyOf(members.values());
            isAllStale = false;
        }
        return all;
    }

    /** Returns the members that count as running, this host included, ordered by name. */
    public List<Member> live() {
        return members.values().stream().filter(Member::isLive).toList();
    }

    /** Finds a member by host name. */
    public Optional<Member> member(String host) {
        return Optional.ofNullable(members.get(host));
    }

    /** Replaces this host's own statement and spreads it when it tells something new. */
    public void updateSelf(Member statement) {
        if (!statement.equals(self)) {
            putSelf(statement.withRevision(self.revision() + 1));
        }
    }

    /** Replaces this host's own statement without spreading it at once; heartbeats carry it. */
    public void updateSelfWithoutGossip(Member statement) {
        self = statement;
        isAllStale = true;
        members.put(self.host(), self);
    }

    /** Takes another host's statement into account; returns whether it was news. */
    public boolean merge(Member statement, long nowMicros) {
        if (statement.host().equals(self.host())) {
            return refute(statement);
        }
        Member known = members.get(statement.host());
        if (known != null && !statement.supersedes(known)) {
            return false;
        }
        isAllStale = true;
        members.put(statement.host(), statement);
        changedMicros.put(statement.host(), nowMicros);
        onChange.accept(statement);
        return true;
    }

    /** Takes the load figure of a heartbeat's sender, which is no news to be spread. */
    public void refreshSender(Member statement) {
        Member known = members.get(statement.host());
        boolean isSame = known != null
                && known.incarnation() == statement.incarnation()
                && known.revision() == statement.revision()
                && known.state() == MemberState.ALIVE;
        if (isSame
                && statement.state() == MemberState.ALIVE
                && !statement.host().equals(self.host())) {
            isAllStale = true;
            members.put(statement.host(), statement);
        }
    }

    /** Advances timers and returns the heartbeats to send. */
    public List<Heartbeat> onTime(long nowMicros) {
        List<Heartbeat> out = new ArrayList<>();
        checkPending(nowMicros, out);
        if (nowMicros >= nextCheckMicros) {
            nextCheckMicros = nowMicros + CHECK_MICROS;
            checkSuspects(nowMicros);
        }
        if (nowMicros >= nextRoundMicros) {
            nextRoundMicros = nowMicros + HEARTBEAT_PERIOD_MICROS;
            startRound(nowMicros, out);
        }
        return out;
    }

    /** Handles a heartbeat, and returns what to send. */
    public List<Heartbeat> onHeartbeat(Heartbeat beat, String senderAddress, long nowMicros) {
        return switch (beat.kind()) {
            case PING -> List.of(beat.answer(senderAddress));
            case PING_REQUEST -> relay(beat);
            case ACK -> {
                acknowledge(beat);
                yield beat.forwardTo().isEmpty() ? List.of() : List.of(beat.forward());
            }
        };
    }

    private List<Heartbeat> relay(Heartbeat request) {
        return member(request.target())
                .map(m -> List.of(new Heartbeat(
                        Heartbeat.Kind.PING, request.sequence(), m.host(), m.agentAddress(), request.forwardTo())))
                .orElse(List.of());
    }

    private void acknowledge(Heartbeat ack) {
        if (ack.forwardTo().isEmpty()) {
            pending.remove(ack.sequence());
        }
    }

    private void startRound(long nowMicros, List<Heartbeat> out) {
        forgetOld(nowMicros);
        for (int i = 0; i < heartbeats; i++) {
            nextInTurn().ifPresent(m -> out.add(ping(m, nowMicros)));
        }
    }

    private Heartbeat ping(Member m, long nowMicros) {
        sequence++;
        pending.put(sequence, new Pending(m.host(), nowMicros, false));
        return new Heartbeat(Heartbeat.Kind.PING, sequence, m.host(), m.agentAddress(), "");
    }

    /** Returns the next member of a shuffled order that covers every member before it repeats. */
    private Optional<Member> nextInTurn() {
        if (turn.isEmpty()) {
            List<String> hosts =
                    new ArrayList<>(others().stream().map(Member::host).toList());
            for (int i = hosts.size() - 1; i > 0; i--) {
                Collections.swap(hosts, i, random.nextInt(i + 1));
            }
            turn.addAll(hosts);
        }
        return Optional.ofNullable(turn.poll()).flatMap(this::member).filter(m -> m.state() != MemberState.LEFT);
    }

    /** Returns the members other than this host that may answer; dead ones too, in case a partition heals. */
    private List<Member> others() {
        return members.values().stream()
                .filter(m -> !m.host().equals(self.host()) && m.state() != MemberState.LEFT)
                .toList();
    }

    private void checkPending(long nowMicros, List<Heartbeat> out) {
        List.copyOf(pending.entrySet()).forEach(e -> {
            Pending p = e.getValue();
            long elapsed = nowMicros - p.sentMicros();
            if (elapsed >= INDIRECT_TIMEOUT_MICROS) {
                pending.remove(e.getKey());
                suspect(p.host(), nowMicros);
            } else if (elapsed >= ACK_TIMEOUT_MICROS && !p.isIndirectSent()) {
                pending.put(e.getKey(), new Pending(p.host(), p.sentMicros(), true));
                out.addAll(indirect(e.getKey(), p.host()));
            }
        });
    }

    private List<Heartbeat> indirect(long pingSequence, String target) {
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
        members.values().stream()
                .filter(m -> m.state() == MemberState.SUSPECT)
                .filter(m -> nowMicros - changedMicros.getOrDefault(m.host(), nowMicros) >= SUSPICION_MICROS)
                .toList()
                .forEach(m -> merge(m.withState(MemberState.DEAD), nowMicros));
    }

    private void forgetOld(long nowMicros) {
        isAllStale = true;
        members.values()
                .removeIf(m ->
                        !m.isLive() && nowMicros - changedMicros.getOrDefault(m.host(), nowMicros) >= FORGET_MICROS);
    }

    /**
     * Raises this host's incarnation above the one given, which a process of this host had before. Its clock was ahead
     * then, and all others would take this process for the older one. Bounded, so that two processes which run under
     * one name by mistake don't outbid each other for ever.
     *
     * @return whether this host now has the latest incarnation
     */
    public boolean raiseIncarnationAbove(long earlierIncarnation) {
        if (earlierIncarnation <= self.incarnation()) {
            return true;
        }
        if (successions == MAX_SUCCESSIONS || self.state() != MemberState.ALIVE) {
            return false;
        }
        successions++;
        putSelf(self.withIncarnation(earlierIncarnation + 1));
        return true;
    }

    /** Contradicts a statement that this host is not running; returns whether there was something to contradict. */
    private boolean refute(Member statement) {
        if (statement.incarnation() > self.incarnation()) {
            return raiseIncarnationAbove(statement.incarnation());
        }
        boolean isOfThisProcess = statement.incarnation() == self.incarnation();
        boolean isContradiction = statement.state() != MemberState.ALIVE && self.state() == MemberState.ALIVE;
        if (isOfThisProcess && isContradiction && statement.revision() >= self.revision()) {
            putSelf(self.withRevision(statement.revision() + 1));
            return true;
        }
        return false;
    }

    private void putSelf(Member statement) {
        self = statement;
        isAllStale = true;
        members.put(self.host(), self);
        onChange.accept(self);
    }
}
