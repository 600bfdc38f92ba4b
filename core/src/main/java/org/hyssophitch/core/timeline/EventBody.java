package org.hyssophitch.core.timeline;

import java.util.List;

/**
 * Type-specific content of a timeline event. Every body is immutable. The names of the records and of their components
 * are written to the JSON of the timeline.
 */
public sealed interface EventBody {

    /** Returns the type name of the event, which is shown to operators. */
    default String type() {
        return getClass().getSimpleName();
    }

    /** A call arrived at the entry host. */
    record CallArrived(String service, boolean idempotent, long deadlineMicros, int depth) implements EventBody {}

    /** A call was queued until a backend server has free capacity. */
    record CallQueued(String service, int position) implements EventBody {}

    /**
     * A waiting call was rejected because it was expected to wait longer than it may.
     *
     * @param team name of the caller's team; empty without one
     * @param place place of the call in the order of waiting calls, from 1
     * @param queueLength number of waiting calls of the service
     * @param expectedWaitMicros expected wait in microseconds
     * @param mayWaitMicros time in microseconds that the call could still wait
     */
    record CallForecastRejected(
            String service,
            String team,
            int priority,
            int place,
            int queueLength,
            long expectedWaitMicros,
            long mayWaitMicros)
            implements EventBody {}

    /** A hedge was skipped because no backend server had capacity for it; the first attempt continues. */
    record HedgeSkipped(String service) implements EventBody {}

    /** A backend server was chosen for an attempt; lists every candidate considered. */
    record ServerChosen(String service, int attempt, String cause, String server, List<CandidateView> candidates)
            implements EventBody {}

    /** An attempt ended. */
    record AttemptEnded(int attempt, String server, String result, long elapsedMicros) implements EventBody {}

    /**
     * An answer of a backend server was not taken as the whole answer to a request.
     *
     * @param fault why it was not taken
     * @param part the part that breaks the protocol; empty if each part is valid by itself
     * @param bytes number of bytes that were received since the request was sent
     * @param earlierRequests number of requests that the connection had carried before
     */
    record AnswerRejected(String server, String fault, String part, long bytes, int earlierRequests)
            implements EventBody {}

    /**
     * The body of a backend server's answer held the head of another answer.
     *
     * @param framing how the answer shows its end
     * @param verdict what became of the answer
     */
    record EmbeddedHeadFound(String server, String framing, String verdict) implements EventBody {}

    /** The final answer was sent to the caller. */
    record CallAnswered(String outcome, String reason, int attempts, long elapsedMicros) implements EventBody {}

    /** A configuration came into force in this process. */
    record ConfigurationInForce(long version, String revisionId) implements EventBody {}

    /** A configuration was rejected because the one in force is newer. */
    record ConfigurationRefused(long version, long versionInForce) implements EventBody {}

    /** The membership state of an entry host changed in this process's view. */
    record MemberChanged(String host, long incarnation, String state) implements EventBody {}

    /** A backend server is leaving, so this process sends it no new calls; or a source revoked its leaving notice. */
    record ServerLeaving(String server, String source) implements EventBody {}

    /**
     * A backend server states another condition in its answers than before; "none" when it no longer states one.
     *
     * @param source kind of the answer
     */
    record ServerStated(String server, String statement, String source) implements EventBody {}

    /** An attempt was sent to a backend server that states a rate limit in its answers. */
    record LimitedServerUsed(String server, double limitPerSecond, String cause) implements EventBody {}

    /**
     * A call of a team with a quota got a token or was refused.
     *
     * @param decision {@link #GRANTED} or {@link #DENIED}
     * @param isFallback whether no owner answered, so that this host decided by its own share
     * @param retryAfterMicros time in microseconds after which a refused caller should return
     */
    record QuotaDecided(String team, String decision, boolean isFallback, long retryAfterMicros) implements EventBody {

        /** The call got a token. */
        public static final String GRANTED = "granted";
        /** The team is over its quota. */
        public static final String DENIED = "denied";
    }

    /** This host became the owner of a team's quota, or is no longer. */
    record QuotaOwnerChanged(String team, boolean isOwned) implements EventBody {}

    /** A backend server registered itself with the platform, or its registration was removed. */
    record ServerRegistered(String server, String service, boolean isGone) implements EventBody {}

    /** The set of evacuated availability zones changed; holds all of them. */
    record ZonesEvacuated(List<String> zones) implements EventBody {}

    /** A backend server was ejected or readmitted by outlier detection. */
    record ServerHealthChanged(String server, String state) implements EventBody {}

    /** A request was suspected of crashing backend servers, or was convicted or cleared of the suspicion. */
    record RequestSuspected(String fingerprint, String verdict, double score) implements EventBody {}

    /**
     * Another entry host reported that a server crashed while this request was in flight.
     *
     * @param crashes number of crashes for which this host now suspects the request
     */
    record SuspicionReceived(String fingerprint, String server, int crashes) implements EventBody {}

    /**
     * A backend server broke off, but this isn't counted as a crash.
     *
     * @param cause why it isn't counted
     * @param requests number of different requests that were in flight at the server
     */
    record CrashDismissed(String server, String cause, int requests) implements EventBody {}

    /**
     * This host found out that it gets no answer from any backend server, or got one again.
     *
     * @param unansweredServers number of servers that gave no answer since the last one
     */
    record CutOffChanged(boolean isCutOff, int unansweredServers) implements EventBody {}

    /** The process entered a life-cycle stage: started, stopping or stopped. */
    record ProcessStage(String stage) implements EventBody {}

    /**
     * A stopping host refused a request because of the stop, or left it without a whole answer.
     *
     * @param takenMillis time in milliseconds from the begin of the stop to the request's arrival; negative if the
     *     request arrived before the stop
     * @param attempts attempts that were started
     * @param position position among the unanswered requests of its connection, from 1
     */
    record RequestAtStop(State state, long takenMillis, int attempts, int position) implements EventBody {

        /** How far the request had come. */
        public enum State {
            /** It was refused because of the stop. */
            REFUSED,
            /** Its body had not arrived. */
            RECEIVING,
            /** It waited for a backend server. */
            WAITING_FOR_SERVER,
            /** An attempt was in flight. */
            AT_SERVER,
            /** A part of its answer had been relayed. */
            RELAYING,
            /** Its whole answer waited behind that of an earlier request, or for a caller that reads slowly. */
            ANSWER_WAITING
        }
    }

    /**
     * The process ends.
     *
     * @param millis time in milliseconds since the stop began
     * @param refused requests that were refused because of the stop
     * @param unfinished requests that were left without a whole answer
     * @param unclosedConnections connections whose last bytes the callers may not have read
     */
    record StopEnded(long millis, int refused, int unfinished, int unclosedConnections) implements EventBody {}

    /** The platform's object API became reachable or unreachable. */
    record PlatformState(String state) implements EventBody {}

    /**
     * An object of the platform's store is ignored because it can't be used.
     *
     * @param name name of the object; empty when it is unreadable
     * @param problem what is wrong with it
     */
    record StoreObjectIgnored(String kind, String name, String problem) implements EventBody {}

    /**
     * A step of the watch of one kind of objects failed inside this process; the objects are listed again. The removal
     * of servers whose time without a registration is over counts as a step of the watch, and is repeated.
     *
     * @param step what the watch did or waited for
     * @param cause class of what was thrown, or that the step was overdue
     * @param silentMicros time in microseconds since the process last took over what the store said about the kind
     */
    record WatchFailed(String kind, String step, String cause, long silentMicros) implements EventBody {}

    /**
     * State of a candidate server when the choice was made.
     *
     * @param server backend server
     * @param inFlight attempts of this entry host in flight at the server
     * @param reportedInFlight in-flight count in the latest load report, or -1 without a report
     * @param reportAgeMicros age of that report in microseconds, or -1 without a report
     * @param score score that the routing policy compared; smaller is better
     * @param verdict reason for which the candidate was chosen or rejected
     */
    record CandidateView(
            String server, int inFlight, int reportedInFlight, long reportAgeMicros, double score, String verdict) {

        /** The candidate was chosen for the attempt. */
        public static final String CHOSEN = "chosen";
        /** The candidate had a higher score, and so a later expected answer, than the chosen one. */
        public static final String SCORED_HIGHER = "scored-higher";
        /** The candidate had no capacity: one more call would have slowed it down. */
        public static final String NO_ROOM = "no-room";
        /** The latest load report of the candidate was too old. */
        public static final String REPORT_TOO_OLD = "report-too-old";
    }
}
