package org.hyssophitch.core.call;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.hyssophitch.core.atmostonce.IssuerView;
import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.configuration.RegisteredServer;
import org.hyssophitch.core.health.Clearance;
import org.hyssophitch.core.health.SuspectTracker.Suspicion;
import org.hyssophitch.core.load.LoadReport;
import org.hyssophitch.core.quota.FleetHost;
import org.hyssophitch.core.quota.QuotaAsk;
import org.hyssophitch.core.quota.QuotaGrant;
import org.hyssophitch.core.statement.LimitNews;
import org.hyssophitch.core.statement.ServerStatement;
import org.hyssophitch.core.team.TeamTable;

/** Input of the call engine. Every event is immutable and has a timestamp in microseconds. */
public sealed interface CallEvent {

    /** Returns the time of the event in microseconds. */
    long nowMicros();

    /** A caller's request arrived. */
    record CallArrived(long nowMicros, CallRequest request) implements CallEvent {}

    /** A backend server's response began: status and headers have arrived, the body follows. */
    record AnswerStarted(long nowMicros, long callId, int attempt, int status) implements CallEvent {}

    /**
     * A backend server's answer to a request or to a load probe arrived.
     *
     * @param sentMicros time in microseconds at which the request was sent
     * @param server name of the server
     * @param source kind of the answer
     * @param statements what the server states about itself in the answer; empty when it states nothing
     */
    record ServerAnswered(
            long nowMicros, long sentMicros, String server, AnswerSource source, List<ServerStatement> statements)
            implements CallEvent {}

    /**
     * An answer of a backend server was not taken as the whole answer to a request.
     *
     * @param requestId id of the request that was in flight on the connection; empty without one
     * @param server name of the server
     * @param part the part that breaks the protocol; empty if each part is valid by itself
     * @param bytes number of bytes that were received since that request was sent
     * @param earlierRequests number of requests that the connection had carried before
     */
    record AnswerRejected(
            long nowMicros,
            String requestId,
            String server,
            AnswerFault fault,
            Optional<AnswerPart> part,
            long bytes,
            int earlierRequests)
            implements CallEvent {}

    /**
     * The body of a backend server's answer held the head of another answer.
     *
     * @param requestId id of the request
     * @param server name of the server
     * @param framing how the answer shows its end
     * @param verdict what became of the answer
     */
    record EmbeddedHeadFound(
            long nowMicros, String requestId, String server, BodyFraming framing, EmbeddedHeadVerdict verdict)
            implements CallEvent {}

    /** Other entry hosts told what they have heard of rate limits that backend servers state. */
    record LimitNewsReceived(long nowMicros, List<LimitNews> news) implements CallEvent {}

    /**
     * The entry hosts that share the limits of backend servers changed.
     *
     * @param zoneByHost availability zones of all known hosts that haven't left, also of silent ones
     */
    record HostsChanged(long nowMicros, Map<String, String> zoneByHost) implements CallEvent {}

    /**
     * The entry hosts that own quotas of teams changed. Raised only while a team has a quota.
     *
     * @param hosts all hosts that haven't left, including this one
     */
    record QuotaHostsChanged(long nowMicros, List<FleetHost> hosts) implements CallEvent {}

    /** Another entry host asks for tokens. */
    record QuotaAsked(long nowMicros, String host, List<QuotaAsk> asks) implements CallEvent {}

    /** Another entry host answers requests for tokens. */
    record QuotaGranted(long nowMicros, String host, List<QuotaGrant> grants) implements CallEvent {}

    /** Kinds of answers in which a backend server states something about itself. */
    enum AnswerSource {
        /** Success, which is passed on to the caller. */
        SUCCESS,
        /** Error or refusal. */
        ERROR,
        /** Answer to a load probe. */
        LOAD_PROBE
    }

    /** An attempt ended. */
    record AttemptEnded(long nowMicros, long callId, int attempt, AttemptResult result) implements CallEvent {}

    /** The caller closed its connection. */
    record CallerGone(long nowMicros, long callId) implements CallEvent {}

    /**
     * A newer configuration was accepted.
     *
     * @param teams index of the configuration's teams
     */
    record ConfigurationAccepted(long nowMicros, Configuration configuration, TeamTable teams) implements CallEvent {

        /** Creates an event and indexes the configuration's teams. */
        public ConfigurationAccepted(long nowMicros, Configuration configuration) {
            this(nowMicros, configuration, TeamTable.of(configuration.teams()));
        }
    }

    /** Load reports arrived, in response headers or from the agent. */
    record LoadReportsReceived(long nowMicros, List<LoadReport> reports) implements CallEvent {}

    /**
     * A load probe of a backend server ended, with an answer or without one.
     *
     * @param report the server's load; empty when it reported none
     * @param outcome whether the server may be sent work
     */
    record LoadProbeCompleted(long nowMicros, String server, Optional<LoadReport> report, ProbeOutcome outcome)
            implements CallEvent {}

    /** Outcome of a load probe: whether the server may be sent work. */
    enum ProbeOutcome {
        /** The server accepts work. */
        ACCEPTING,
        /** The server answered that it is unhealthy or draining. */
        REFUSING,
        /** Another server instance answered at the address. */
        WRONG_INSTANCE,
        /** The probe got no answer. */
        FAILED
    }

    /** The set of self-registered backend servers changed; holds all of them by service name. */
    record ServersRegistered(long nowMicros, Map<String, List<RegisteredServer>> servers) implements CallEvent {}

    /**
     * The number of entry hosts that share the fleet-wide limits changed.
     *
     * @param hostsByZone number of entry hosts in each availability zone
     */
    record FleetChanged(long nowMicros, Map<String, Integer> hostsByZone) implements CallEvent {}

    /**
     * The set of other entry hosts that reach backend servers and accept requests changed.
     *
     * @param hosts all of them; they take the place of servers while this host is cut off
     */
    record ForwardingHostsChanged(long nowMicros, List<BackendServer> hosts) implements CallEvent {}

    /**
     * The set of evacuated availability zones changed; nothing more is sent to the backend servers of these zones.
     *
     * @param zones all evacuated zones
     */
    record ZonesEvacuated(long nowMicros, Set<String> zones) implements CallEvent {}

    /** The operator set how far the requests to a cold server may exceed its rate. */
    record ColdBoundChanged(long nowMicros, ColdBound bound) implements CallEvent {}

    /** The operator changed the fleet-wide limits. */
    record FleetLimitsChanged(long nowMicros, FleetLimits limits) implements CallEvent {}

    /** The set of leaving backend servers changed, as reported by the platform or by other entry hosts. */
    record LeavingChanged(long nowMicros, Set<String> servers, String source) implements CallEvent {}

    /** Other entry hosts shared crash suspicions. */
    record SuspicionsReceived(long nowMicros, List<Suspicion> suspicions) implements CallEvent {}

    /** Other entry hosts found that suspect requests don't crash servers. */
    record ClearancesReceived(long nowMicros, List<Clearance> clearances) implements CallEvent {}

    /** Membership changed, and with it the set of live processes that issue tickets. */
    record TicketIssuersChanged(long nowMicros, IssuerView issuers) implements CallEvent {}

    /** This host ends; each call whose answer isn't being relayed gets a final answer. */
    record HostEnding(long nowMicros) implements CallEvent {}

    /** Time passed; due timers fire. */
    record TimePassed(long nowMicros) implements CallEvent {}
}
