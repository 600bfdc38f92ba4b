package org.hyssophitch.http;

import org.hyssophitch.core.configuration.BackendServer;

/**
 * Data of a request to a backend server or another entry host that is sent in addition to the caller's own headers.
 * Immutable.
 *
 * @param server backend server that receives the request
 * @param requestId id of the request
 * @param remainingMillis time in milliseconds until the deadline of the request
 * @param mayRetryDownstream whether calls that the server makes for this request may be retried
 * @param forwardedAttempts number of attempts that an entry host may make; 0 when sent to a backend server
 */
public record OutgoingRequest(
        BackendServer server,
        String requestId,
        long remainingMillis,
        boolean mayRetryDownstream,
        int forwardedAttempts) {

    /** Returns whether the request is forwarded to another entry host. */
    public boolean isForward() {
        return forwardedAttempts > 0;
    }
}
