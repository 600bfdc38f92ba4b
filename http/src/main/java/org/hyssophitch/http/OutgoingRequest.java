package org.hyssophitch.http;

import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaders;
import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.team.Caller;

/**
 * Data of a request to a backend server or another entry host that is sent in addition to the caller's own headers.
 * Immutable.
 *
 * @param server backend server that receives the request
 * @param requestId id of the request
 * @param remainingMillis time in milliseconds until the deadline of the request
 * @param mayRetryDownstream whether calls that the server makes for this request may be retried
 * @param forwardedAttempts number of attempts that an entry host may make; 0 when sent to a backend server
 * @param caller who sent the request; empty if the configuration has no teams, so that no header tells about teams
 * @param received headers of the request as the caller sent it
 */
public record OutgoingRequest(
        BackendServer server,
        String requestId,
        long remainingMillis,
        boolean mayRetryDownstream,
        int forwardedAttempts,
        Optional<Caller> caller,
        HttpHeaders received) {

    /** Returns whether the request is forwarded to another entry host. */
    public boolean isForward() {
        return forwardedAttempts > 0;
    }
}
