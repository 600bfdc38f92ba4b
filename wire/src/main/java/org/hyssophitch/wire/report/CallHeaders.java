package org.hyssophitch.wire.report;

/** Names of the HTTP headers that hyssophitch defines for callers, entry hosts and backend servers. */
public final class CallHeaders {

    /** Id of the request; a ticket if the request is non-idempotent and may be resent. */
    public static final String REQUEST_ID = "Hyssophitch-Request-Id";
    /** Time in milliseconds within which the response must begin. */
    public static final String DEADLINE_MILLIS = "Hyssophitch-Deadline-Ms";
    /** Number of calls that precede this one in the call chain. */
    public static final String DEPTH = "Hyssophitch-Depth";
    /** Whether the request is idempotent, {@code true} or {@code false}; overrides the default of the HTTP method. */
    public static final String IDEMPOTENT = "Hyssophitch-Idempotent";
    /** {@code false} in the calls that a backend server makes to serve a retry; they must not be retried. */
    public static final String MAY_RETRY = "Hyssophitch-May-Retry";
    /** Outcome of the call: {@code completed}, {@code not-run} or {@code unknown}. */
    public static final String OUTCOME = "Hyssophitch-Outcome";
    /** Reason for the outcome. */
    public static final String REASON = "Hyssophitch-Reason";
    /** Name of the entry host that sent the response. */
    public static final String ENTRY_HOST = "Hyssophitch-Entry-Host";
    /** Name of the backend server that sent the response. */
    public static final String SERVER = "Hyssophitch-Server";
    /** Delay in milliseconds before the caller should retry. */
    public static final String RETRY_AFTER_MILLIS = "Hyssophitch-Retry-After-Ms";

    /** Value of {@link #OUTCOME} by which a backend server reports that it didn't execute the request. */
    public static final String NOT_RUN = "not-run";
    /** API key of the caller; never sent to a backend server. */
    public static final String API_KEY = "Hyssophitch-Key";
    /** Name of the caller's team, as the entry host found it by the key. */
    public static final String TEAM = "Hyssophitch-Team";

    private CallHeaders() {}
}
