package org.hyssophitch.wire.report;

/** Names of the headers that hyssophitch defines between callers, entry hosts and backend servers. */
public final class CallHeaders {

    /** Name of the request; a ticket for a non-idempotent request that may be sent again. */
    public static final String REQUEST_ID = "Hyssophitch-Request-Id";
    /** Time in milliseconds within which the caller needs its answer. */
    public static final String DEADLINE_MILLIS = "Hyssophitch-Deadline-Ms";
    /** Number of calls above this one in the chain. */
    public static final String DEPTH = "Hyssophitch-Depth";
    /** {@code true} or {@code false}; overrides what the HTTP method says. */
    public static final String IDEMPOTENT = "Hyssophitch-Idempotent";
    /** {@code false} below a call that is a retry itself. */
    public static final String MAY_RETRY = "Hyssophitch-May-Retry";
    /** {@code completed}, {@code not-run} or {@code unknown}. */
    public static final String OUTCOME = "Hyssophitch-Outcome";
    /** Type of the reason for the outcome. */
    public static final String REASON = "Hyssophitch-Reason";
    /** Entry host that answered. */
    public static final String ENTRY_HOST = "Hyssophitch-Entry-Host";
    /** Backend server that answered. */
    public static final String SERVER = "Hyssophitch-Server";
    /** When to come back, in milliseconds. */
    public static final String RETRY_AFTER_MILLIS = "Hyssophitch-Retry-After-Ms";

    /** Value of {@link #OUTCOME} by which a backend server states that it did not run a request. */
    public static final String NOT_RUN = "not-run";

    private CallHeaders() {}
}
