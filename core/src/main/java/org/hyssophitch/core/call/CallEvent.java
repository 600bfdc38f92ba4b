package org.hyssophitch.core.call;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.hyssophitch.core.atmostonce.IssuerView;
import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.configuration.RegisteredServer;
import org.hyssophitch.core.health.SuspectTracker.Suspicion;
import org.hyssophitch.core.load.LoadReport;

/** Input of the call engine. Every event is immutable and carries its time in microseconds. */
public sealed interface CallEvent {

    /** Returns the time of the event in microseconds. */
    long nowMicros();

    /** A caller's request arrived. */
    record CallArrived(long nowMicros, CallRequest request) implements CallEvent {}

    /** A backend server's answer began: status and headers are there, the body follows. */
    record AnswerStarted(long nowMicros, long callId, int attempt, int status) implements CallEvent {}

    /** An attempt ended. */
    record AttemptEnded(long nowMicros, long callId, int attempt, AttemptResult result) implements CallEvent {}

    /** The caller closed its connection. */
    record CallerGone(long nowMicros, long callId) implements CallEvent {}

    /** A newer configuration came into force. */
    record ConfigurationAccepted(long nowMicros, Configuration configuration) implements CallEvent {}

    /** Load reports arrived, by answers' headers or from the agent. */
    record ReportsReceived(long nowMicros, List<LoadReport> reports) implements CallEvent {}

    /**
     * A backend server answered the question for its load, or failed to.
     *
     * @param report its load; empty when it told none
     * @param outcome what the answer says about sending work there
     */
    record LoadAnswered(long nowMicros, String server, Optional<LoadReport> report, AskOutcome outcome)
            implements CallEvent {}

    /** What an answer to the question for a server's load says about sending work there. */
    enum AskOutcome {
        /** The server takes work. */
        ACCEPTING,
        /** The server says that it is unhealthy or leaving. */
        REFUSING,
        /** Another server has the address. */
        WRONG_INSTANCE,
        /** No answer came. */
        FAILED
    }

    /** The backend servers that registered themselves changed; holds all of them, by the service's name. */
    record ServersRegistered(long nowMicros, Map<String, List<RegisteredServer>> servers) implements CallEvent {}

    /**
     * The number of entry hosts that share the fleet's limits changed.
     *
     * @param hostsByZone entry hosts in each availability zone
     */
    record FleetChanged(long nowMicros, Map<String, Integer> hostsByZone) implements CallEvent {}

    /** The operator changed the limits that all entry hosts keep together. */
    record LimitsChanged(long nowMicros, FleetLimits limits) implements CallEvent {}

    /** The set of leaving backend servers changed, as the platform or other entry hosts tell it. */
    record LeavingChanged(long nowMicros, Set<String> servers, String source) implements CallEvent {}

    /** Other entry hosts shared suspicions. */
    record SuspicionsReceived(long nowMicros, List<Suspicion> suspicions) implements CallEvent {}

    /** Membership changed: which processes that issue tickets are live. */
    record IssuersChanged(long nowMicros, IssuerView issuers) implements CallEvent {}

    /** Time passed; timers that are due fire. */
    record TimePassed(long nowMicros) implements CallEvent {}
}
