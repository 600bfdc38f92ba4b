package org.hyssophitch.core.call;

import java.util.Locale;

/** Reason of a call's final answer. Each reason has one outcome and one HTTP status. */
public enum Reason {
    ANSWERED(Outcome.COMPLETED, 200),
    ALREADY_RUN(Outcome.COMPLETED, 409),

    UNKNOWN_SERVICE(Outcome.NOT_RUN, 404),
    BAD_REQUEST(Outcome.NOT_RUN, 400),
    NO_ROUTE(Outcome.NOT_RUN, 404),
    /** The request carries no API key of a team, or the key was removed before the request was sent. */
    UNKNOWN_KEY(Outcome.NOT_RUN, 401),
    HEAD_TOO_LARGE(Outcome.NOT_RUN, 431),
    /** The request head did not arrive in time after its first byte. */
    HEAD_TIMEOUT(Outcome.NOT_RUN, 408),
    BODY_TOO_LARGE(Outcome.NOT_RUN, 413),
    NO_CONFIGURATION(Outcome.NOT_RUN, 503),
    /** This host stops and may end before the request's answer. */
    HOST_STOPPING(Outcome.NOT_RUN, 503),
    /** The unfinished bodies of other requests take the memory that this host has for them. */
    UPLOADS_FULL(Outcome.NOT_RUN, 503),
    QUEUE_FULL(Outcome.NOT_RUN, 503),
    /** No server had capacity while the call could still wait for it. */
    NO_ROOM(Outcome.NOT_RUN, 503),
    /** By what the servers state about themselves, none takes a request while the call could still wait. */
    SERVERS_LIMITED(Outcome.NOT_RUN, 503),
    /** As {@link #SERVERS_LIMITED}, and at least one server is cold. */
    SERVERS_COLD(Outcome.NOT_RUN, 503),
    /** All servers that might take the call are in evacuated availability zones. */
    ZONES_EVACUATED(Outcome.NOT_RUN, 503),
    /** This host is cut off from all servers, and no other host could take the call. */
    SERVERS_UNREACHABLE(Outcome.NOT_RUN, 503),
    /** Another entry host forwarded the call, but this host is cut off from all servers as well, or stops. */
    FORWARD_REFUSED(Outcome.NOT_RUN, 421),
    DEADLINE_TOO_SHORT(Outcome.NOT_RUN, 503),
    DEADLINE_PASSED_WAITING(Outcome.NOT_RUN, 503),
    NO_SERVER(Outcome.NOT_RUN, 503),
    ATTEMPTS_REFUSED(Outcome.NOT_RUN, 503),
    /** The team has used up its quota. */
    OVER_QUOTA(Outcome.NOT_RUN, 429),
    TICKET_REQUIRED(Outcome.NOT_RUN, 428),
    TICKET_ISSUED_ELSEWHERE(Outcome.NOT_RUN, 307),
    TICKET_NEVER_ISSUED(Outcome.NOT_RUN, 400),
    REQUEST_CONVICTED(Outcome.NOT_RUN, 422),
    CALLER_GONE_WAITING(Outcome.NOT_RUN, 499),

    DEADLINE_PASSED(Outcome.UNKNOWN, 504),
    /** This host ended its stop before a server's answer. */
    HOST_STOPPED(Outcome.UNKNOWN, 504),
    CONNECTION_LOST(Outcome.UNKNOWN, 502),
    ANSWER_BROKEN(Outcome.UNKNOWN, 502),
    TICKET_RUNNING(Outcome.UNKNOWN, 409),
    TICKET_MAY_HAVE_RUN(Outcome.UNKNOWN, 409),
    TICKET_EXPIRED(Outcome.UNKNOWN, 410),
    TICKET_ISSUER_GONE(Outcome.UNKNOWN, 410),
    CALLER_GONE(Outcome.UNKNOWN, 499);

    /** Delay in milliseconds after which to retry at another host, which can take the request now. */
    public static final long RETRY_ELSEWHERE_MILLIS = 1;

    private final Outcome outcome;
    private final int status;

    Reason(Outcome outcome, int status) {
        this.outcome = outcome;
        this.status = status;
    }

    public Outcome outcome() {
        return outcome;
    }

    /** Returns the HTTP status of an answer that this entry host generates for this reason. */
    public int status() {
        return status;
    }

    /** Returns the value of the reason header. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
