package org.hyssophitch.http;

import org.hyssophitch.core.configuration.BackendServer;

/**
 * What a backend server has to know of a request beyond the caller's own headers. Immutable.
 *
 * @param server the server that gets it
 * @param requestId name of the request
 * @param remainingMillis time in milliseconds that the server has for its answer
 * @param mayRetryDownstream whether calls below this one may be repeated
 */
public record OutgoingRequest(
        BackendServer server, String requestId, long remainingMillis, boolean mayRetryDownstream) {}
