package org.hyssophitch.core.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.random.RandomGenerator;

import org.hyssophitch.core.health.SuspectTracker.Suspicion;
import org.hyssophitch.core.membership.Heartbeat;
import org.hyssophitch.core.membership.Member;

/**
 * Buffers the updates that an agent gossips and builds the datagrams that carry them. Not thread-safe; owned by the
 * agent engine.
 */
final class AgentMessageBuilder {

    /** Number of datagrams that carry each update. */
    private static final int REPETITIONS = 8;

    private static final int MEMBERS_PER_MESSAGE = 3;
    private static final int NOTICES_PER_MESSAGE = 4;
    private static final int REGISTRATIONS_PER_MESSAGE = 2;

    /**
     * State known to this agent. Each datagram repeats one random entry of each kind.
     *
     * @param members all members
     * @param leaving all notices about leaving servers
     * @param registrations all notices about servers that register themselves
     */
    record KnownState(List<Member> members, List<LeavingNotice> leaving, List<RegistrationNotice> registrations) {}

    private final RandomGenerator random;
    private final GossipBuffer<Member> members = new GossipBuffer<>(REPETITIONS);
    private final GossipBuffer<LeavingNotice> leaving = new GossipBuffer<>(REPETITIONS);
    private final SuspicionExchange suspicions;
    private final GossipBuffer<RegistrationNotice> registrations = new GossipBuffer<>(REPETITIONS);

    AgentMessageBuilder(RandomGenerator random) {
        this.random = random;
        this.suspicions = new SuspicionExchange(random);
    }

    void add(Member m) {
        members.add(m.host(), m);
    }

    void add(LeavingNotice n) {
        leaving.add(n.server() + '|' + n.source(), n);
    }

    void add(RegistrationNotice n) {
        registrations.add(n.server(), n);
    }

    /** Adds suspicions and returns those that are new. */
    List<Suspicion> add(List<Suspicion> found) {
        return suspicions.add(found);
    }

    /** Returns all suspicions that haven't expired. */
    List<Suspicion> knownSuspicions(long nowMicros) {
        return suspicions.known(nowMicros);
    }

    /** Builds the next message; every update in it counts as sent once more. */
    AgentMessage build(
            Member sender,
            Optional<Heartbeat> heartbeat,
            List<AgedLoadReport> loads,
            KnownState known,
            long nowMicros) {
        return AgentMessage.builder(sender)
                .heartbeat(heartbeat)
                .members(withRandomKnown(members.take(MEMBERS_PER_MESSAGE), known.members()))
                .loads(loads)
                .leaving(withRandomKnown(leaving.take(NOTICES_PER_MESSAGE), known.leaving()))
                .suspicions(suspicions.take(NOTICES_PER_MESSAGE, nowMicros))
                .registrations(withRandomKnown(registrations.take(REGISTRATIONS_PER_MESSAGE), known.registrations()))
                .repeatedSuspicions(OptionalInt.of(suspicions.repeatedCount()))
                .build();
    }

    /** Builds the messages with the suspicions that the sender of a message lacks. */
    List<AgentMessage> buildMissing(Member self, AgentMessage received, long nowMicros) {
        return suspicions.missing(received.repeatedSuspicions(), nowMicros).stream()
                .map(page -> AgentMessage.builder(self).suspicions(page).build())
                .toList();
    }

    /**
     * Adds one random known entry, so that all hosts converge although each update is sent a limited number
     * of times.
     */
    private <T> List<T> withRandomKnown(List<T> updates, List<T> known) {
        if (known.isEmpty()) {
            return updates;
        }
        List<T> extended = new ArrayList<>(updates);
        extended.add(known.get(random.nextInt(known.size())));
        return extended;
    }
}
