package org.hyssophitch.core.control;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

import org.hyssophitch.core.health.Clearance;
import org.hyssophitch.core.health.SuspectTracker.Suspicion;
import org.hyssophitch.core.membership.Heartbeat;
import org.hyssophitch.core.membership.Member;
import org.hyssophitch.core.quota.QuotaAsk;
import org.hyssophitch.core.quota.QuotaGrant;

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
 * @param storeReachableMicros time in microseconds for which the sender has reached the platform's store without a
 *     failure; empty while it doesn't, or from an earlier release
 * @param quotaAsks token requests to the receiver
 * @param quotaGrants answers to token requests of the receiver
 * @param clearances requests that were found not to crash servers
 * @param repeatedSuspicions number of suspicions that the sender repeats; empty from an earlier release
 */
public record AgentMessage(
        Member sender,
        Optional<Heartbeat> heartbeat,
        List<Member> members,
        List<AgedLoadReport> loads,
        List<LeavingNotice> leaving,
        List<Suspicion> suspicions,
        List<RegistrationNotice> registrations,
        List<AgedLimitNews> limits,
        List<QuotaAsk> quotaAsks,
        List<QuotaGrant> quotaGrants,
        List<Clearance> clearances,
        OptionalLong storeReachableMicros,
        OptionalInt repeatedSuspicions) {

    /** Returns a builder of a message that tells only about its sender. */
    public static Builder builder(Member sender) {
        return new Builder(sender);
    }

    /** Builder of a message. Not thread-safe. */
    public static final class Builder {

        private final Member sender;
        private Optional<Heartbeat> heartbeat = Optional.empty();
        private List<Member> members = List.of();
        private List<AgedLoadReport> loads = List.of();
        private List<LeavingNotice> leaving = List.of();
        private List<Suspicion> suspicions = List.of();
        private List<RegistrationNotice> registrations = List.of();
        private List<AgedLimitNews> limits = List.of();
        private List<QuotaAsk> quotaAsks = List.of();
        private List<QuotaGrant> quotaGrants = List.of();
        private List<Clearance> clearances = List.of();
        private OptionalLong storeReachableMicros = OptionalLong.empty();
        private OptionalInt repeatedSuspicions = OptionalInt.empty();

        private Builder(Member sender) {
            this.sender = sender;
        }

        public Builder heartbeat(Optional<Heartbeat> value) {
            heartbeat = value;
            return this;
        }

        public Builder members(List<Member> value) {
            members = value;
            return this;
        }

        public Builder loads(List<AgedLoadReport> value) {
            loads = value;
            return this;
        }

        public Builder leaving(List<LeavingNotice> value) {
            leaving = value;
            return this;
        }

        public Builder suspicions(List<Suspicion> value) {
            suspicions = value;
            return this;
        }

        public Builder registrations(List<RegistrationNotice> value) {
            registrations = value;
            return this;
        }

        public Builder limits(List<AgedLimitNews> value) {
            limits = value;
            return this;
        }

        public Builder quotaAsks(List<QuotaAsk> value) {
            quotaAsks = value;
            return this;
        }

        public Builder quotaGrants(List<QuotaGrant> value) {
            quotaGrants = value;
            return this;
        }

        public Builder clearances(List<Clearance> value) {
            clearances = value;
            return this;
        }

        public Builder storeReachableMicros(OptionalLong value) {
            storeReachableMicros = value;
            return this;
        }

        public Builder repeatedSuspicions(OptionalInt value) {
            repeatedSuspicions = value;
            return this;
        }

        /** Returns the message. */
        public AgentMessage build() {
            return new AgentMessage(
                    sender,
                    heartbeat,
                    members,
                    loads,
                    leaving,
                    suspicions,
                    registrations,
                    limits,
                    quotaAsks,
                    quotaGrants,
                    clearances,
                    storeReachableMicros,
                    repeatedSuspicions);
        }
    }
}
