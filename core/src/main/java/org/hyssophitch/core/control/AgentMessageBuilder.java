package org.hyssophitch.core.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.hyssophitch.core.health.SuspectRegister.Suspicion;
import org.hyssophitch.core.membership.Heartbeat;
import org.hyssophitch.core.membership.Member;

/** News that agents pass on, and the datagrams that carry it. Not thread-safe; owned by the agent engine. */
final class AgentMessageBuilder {

    private static final int REPETITIONS = 8;
    private static final int MEMBERS_PER_MESSAGE = 3;
    private static final int NOTICES_PER_MESSAGE = 4;
    private static final int REGISTRATIONS_PER_MESSAGE = 2;

    /**
     * What an agent knows, of which each datagram reminds of one item of a kind.
     *
     * @param members all members
     * @param leaving every statement on leaving servers
     * @param registrations every statement on servers that register themselves
     */
    record Known(List<Member> members, List<LeavingNotice> leaving, List<RegistrationNotice> registrations) {}

    private final RandomGenerator random;
    private final GossipBuffer<Member> members = new GossipBuffer<>(REPETITIONS);
    private final GossipBuffer<LeavingNotice> leaving = new GossipBuffer<>(REPETITIONS);
    private final GossipBuffer<Suspicion> suspicions = new GossipBuffer<>(REPETITIONS);
    private final GossipBuffer<RegistrationNotice> registrations = new GossipBuffer<>(REPETITIONS);

    AgentMessageBuilder(RandomGenerator random) {
        this.random = random;
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

    void add(String key, Suspicion s) {
        suspicions.add(key, s);
    }

    /** Makes the next datagram; the news in it counts as repeated once more. */
    AgentMessage message(Member sender, Optional<Heartbeat> heartbeat, List<AgedLoadReport> loads, Known known) {
        return new AgentMessage(
                sender,
                heartbeat,
                withReminder(members.take(MEMBERS_PER_MESSAGE), known.members()),
                loads,
                withReminder(leaving.take(NOTICES_PER_MESSAGE), known.leaving()),
                suspicions.take(NOTICES_PER_MESSAGE),
                withReminder(registrations.take(REGISTRATIONS_PER_MESSAGE), known.registrations()));
    }

    /** Adds one random known item, so that every host learns everything in time although news is repeated seldom. */
    private <T> List<T> withReminder(List<T> news, List<T> known) {
        if (known.isEmpty()) {
            return news;
        }
        List<T> extended = new ArrayList<>(news);
        extended.add(known.get(random.nextInt(known.size())));
        return extended;
    }
}
