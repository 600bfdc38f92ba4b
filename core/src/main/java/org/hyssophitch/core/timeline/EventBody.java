package org.hyssophitch.core.timeline;

import java.util.List;

/** What happened in one event of the time line. Every body is immutable. */
public sealed interface EventBody {

    /** Returns the event's type name, as shown to operators. */
    default String type() {
        return getClass().getSimpleName();
    }

    /** A call entered the entry host. */
    record CallArrived(String service, boolean idempotent, long deadlineMicros, int depth) implements EventBody {}

    /** A call waits for a backend server with free capacity. */
    record CallQueued(String service, int position) implements EventBody {}

    /** No server had room for a second attempt beside the first, so that the first goes on alone. */
    record HedgeSkipped(String service) implements EventBody {}

    /** A backend server was chosen for an attempt; lists every candidate that was looked at. */
    record ServerChosen(String service, int attempt, String cause, String server, List<CandidateView> candidates)
            implements EventBody {}

    /** An attempt ended. */
    record AttemptEnded(int attempt, String server, String result, long elapsedMicros) implements EventBody {}

    /** The caller got its final answer. */
    record CallAnswered(String outcome, String reason, int attempts, long elapsedMicros) implements EventBody {}

    /** A configuration came into force in this process. */
    record ConfigurationInForce(long version, String revisionId) implements EventBody {}

    /** A configuration was refused because the one in force is newer. */
    record ConfigurationRefused(long version, long versionInForce) implements EventBody {}

    /** The state of an entry host changed as seen by this process. */
    record MemberChanged(String host, long incarnation, String state) implements EventBody {}

    /** A backend server gets no new work from this process. */
    record ServerLeaving(String server, String source) implements EventBody {}

    /** A backend server registered itself with the platform, or its registration is gone. */
    record ServerRegistered(String server, String service, boolean isGone) implements EventBody {}

    /** A backend server was ejected or readmitted by outlier detection. */
    record ServerHealthChanged(String server, String state) implements EventBody {}

    /** A request came under suspicion of crashing backend servers, was convicted or cleared. */
    record RequestSuspected(String fingerprint, String verdict, double score) implements EventBody {}

    /** The process entered a stage of its life: started, stopping, stopped. */
    record ProcessStage(String stage) implements EventBody {}

    /** The platform's object API became reachable or unreachable. */
    record PlatformState(String state) implements EventBody {}

    /**
     * What was known of a candidate when a choice was made.
     *
     * @param server backend server
     * @param inFlight attempts of this entry host in flight at the server
     * @param reportedInFlight in-flight count that the latest report gave, or -1 without a report
     * @param reportAgeMicros age of that report in microseconds, or -1 without a report
     * @param score value that the policy compared; smaller is better
     * @param verdict why the candidate was chosen or refused
     */
    record CandidateView(
            String server, int inFlight, int reportedInFlight, long reportAgeMicros, double score, String verdict) {

        /** Verdict on the candidate that got the attempt. */
        public static final String CHOSEN = "chosen";
        /** Verdict on a candidate that would have answered later. */
        public static final String SCORED_HIGHER = "scored-higher";
        /** Verdict on a candidate that one more call would have slowed down. */
        public static final String NO_ROOM = "no-room";
        /** Verdict on a candidate whose load was told too long ago. */
        public static final String REPORT_TOO_OLD = "report-too-old";
    }
}
