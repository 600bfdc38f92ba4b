package org.hyssophitch.core.control;

import java.util.List;
import java.util.Optional;

import org.hyssophitch.core.health.SuspectRegister.Suspicion;
import org.hyssophitch.core.membership.Heartbeat;
import org.hyssophitch.core.membership.Member;

/**
 * One datagram between agents. Immutable.
 *
 * @param sender the sender's statement on itself, with its configuration version
 * @param heartbeat heartbeat that the message is about; empty for a message that only spreads news
 * @param members statements on other members
 * @param loads load reports
 * @param leaving leaving backend servers
 * @param suspicions suspicions of requests that crash servers
 * @param registrations backend servers that register themselves
 */
public record AgentMessage(
        Member sender,
        Optional<Heartbeat> heartbeat,
        List<Member> members,
        List<AgedLoadReport> loads,
        List<LeavingNotice> leaving,
        List<Suspicion> suspicions,
        List<RegistrationNotice> registrations) {}
