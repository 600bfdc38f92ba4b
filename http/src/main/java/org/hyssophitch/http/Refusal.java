package org.hyssophitch.http;

import org.hyssophitch.core.call.Reason;

/**
 * The system's own final answer to a request. Immutable.
 *
 * @param reason why
 * @param retryAfterMillis when to come back in milliseconds; 0 when coming back is of no use
 * @param detail entry host to use, status of an earlier answer, or what is wrong with the request; may be empty
 * @param requestId name of the request; empty when it isn't known
 * @param target path and query that the caller asked for
 */
public record Refusal(Reason reason, long retryAfterMillis, String detail, String requestId, String target) {}
