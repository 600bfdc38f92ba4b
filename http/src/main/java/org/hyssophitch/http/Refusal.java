package org.hyssophitch.http;

import org.hyssophitch.core.call.Reason;

/**
 * Final response to a request that the load balancer itself generates. Immutable.
 *
 * @param reason why the request gets this response
 * @param retryAfterMillis time in milliseconds after which to retry; 0 if a retry is of no use
 * @param detail entry host to use, status of an earlier response, or what is wrong with the request; may be empty
 * @param requestId id of the request; empty if unknown
 * @param target path and query of the request
 */
public record Refusal(Reason reason, long retryAfterMillis, String detail, String requestId, String target) {}
