package org.hyssophitch.http;

import org.hyssophitch.core.configuration.BackendServer;

/**
 * Data of a request to a backend server that is sent in addition to the caller's own headers. Immutable.
 *
 * @param server backend server that receives the request
 * @param requestId id of the request
 * @param remainingMillis time in milliseconds until the deadline of the request
 * @param mayRetryDownstream whether calls that the server makes for this request may be retried
 */
public record OutgoingRequest(
        BackendServer server, String requestId, long remainingMillis, boolean mayRetryDownstream) {}
