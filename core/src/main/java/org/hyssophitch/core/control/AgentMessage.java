package org.hyssophitch.core.control;

import java.util.List;
import java.util.Optional;

import org.hyssophitch.core.health.SuspectTracker.Suspicion;
import org.hyssophitch.core.membership.Heartbeat;
import org.hyssophitch.core.membership.Member;

/**
 * Content of one datagram between agents. Immutable.
 *
 * @param sender the sender's own member record, which includes its configuration version
 * @param heartbeat heartbeat that the message carries; empty for a message that carries gossip only
 * @param members records of other members
 * @param loads load reports
 * @param leaving notices about leaving backend servers
 * @param suspicions requests suspected of crashing backend servers
 * @param registrations notices about backend servers that register themselves
 * @param limits rate limits that backend servers state
 */
public record AgentMessage(
        Member sender,
        Optional<Heartbeat> heartbeat,
        List<Member> members,
        List<AgedLoadReport> loads,
        List<LeavingNotice> leaving,
        List<Suspicion> suspicions,
        List<RegistrationNotice> registrations,
        List<AgedLimitNews> limits) {}
