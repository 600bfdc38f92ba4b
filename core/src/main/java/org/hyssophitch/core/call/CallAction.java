package org.hyssophitch.core.call;

import java.util.List;

import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.health.SuspectTracker.Suspicion;

/** Output of the call engine, to be carried out by the shell. Every action is immutable. */
public sealed interface CallAction {

    /**
     * Send the request to a backend server.
     *
     * @param callId the call
     * @param attempt number of the attempt, from 1
     * @param server where to send it
     * @param deadlineMicros time by which the answer has to begin
     * @param stallMillis time in milliseconds without progress after which the connection counts as silent
     * @param mayRetryBelow whether calls below this one may be retried
     */
    record StartAttempt(
            long callId, int attempt, BackendServer server, long deadlineMicros, int stallMillis, boolean mayRetryBelow)
            implements CallAction {}

    /** Relay the attempt's answer to the caller. */
    record RelayAnswer(long callId, int attempt) implements CallAction {}

    /** Cancel an attempt and close its connection; the attempt's end is not reported to the engine any more. */
    record CancelAttempt(long callId, int attempt) implements CallAction {}

    /**
     * Give the caller the system's own final answer; it comes also when the caller has left, and ends the call.
     *
     * @param callId the call
     * @param reason why
     * @param retryAfterMillis when to come back in milliseconds; 0 when coming back is of no use
     * @param detail entry host to use for {@link Reason#TICKET_ISSUED_ELSEWHERE}, status for
     *     {@link Reason#ALREADY_RUN}, else empty
     */
    record AnswerCaller(long callId, Reason reason, long retryAfterMillis, String detail) implements CallAction {}

    /** Close the caller's connection, because an answer that has begun can't be completed. */
    record BreakAnswer(long callId, Reason reason) implements CallAction {}

    /**
     * Ask backend servers for their load; each answer goes back as {@link CallEvent.LoadAnswered}.
     *
     * @param servers whom to ask
     * @param healthPath path at which the servers tell their load
     */
    record AskLoad(List<BackendServer> servers, String healthPath) implements CallAction {}

    /** Share suspicions with the other entry hosts. */
    record ShareSuspicions(List<Suspicion> suspicions) implements CallAction {}
}
