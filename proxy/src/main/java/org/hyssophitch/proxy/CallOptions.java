package org.hyssophitch.proxy;

import java.util.Optional;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaders;
import org.hyssophitch.core.atmostonce.Ticket;
import org.hyssophitch.core.call.CallRequest;
import org.hyssophitch.wire.report.CallHeaders;

/**
 * Options of a call, from the method and headers of the caller's request. Immutable.
 *
 * @param idempotent whether the request may run more than once
 * @param ticket ticket of a non-idempotent request
 * @param hasRequestId whether the caller specified a request id
 * @param timeoutMillis time in milliseconds that the caller waits for the response; negative if it specified none
 * @param depth number of calls that precede this one in the call chain
 * @param mayRetry whether the call may be retried; false if an earlier call in the call chain is already a retry
 */
record CallOptions(
        boolean idempotent,
        Optional<Ticket> ticket,
        boolean hasRequestId,
        long timeoutMillis,
        int depth,
        boolean mayRetry) {

    private static final Set<String> IDEMPOTENT_METHODS = Set.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "QUERY");
    private static final long MICROS_PER_MILLI = 1_000;
    private static final int MAX_DEPTH = 16;
    private static final long NO_TIMEOUT = -1;

    /**
     * Parses the headers.
     *
     * @throws MalformedHeaderException if a header has an invalid value
     */
    static CallOptions of(String method, HttpHeaders headers) throws MalformedHeaderException {
        boolean isIdempotent = flag(headers, CallHeaders.IDEMPOTENT, IDEMPOTENT_METHODS.contains(method));
        String requestId = headers.get(CallHeaders.REQUEST_ID);
        Optional<Ticket> ticket = isIdempotent || requestId == null ? Optional.empty() : Ticket.parse(requestId);
        return new CallOptions(
                isIdempotent,
                ticket,
                requestId != null,
                number(headers, CallHeaders.DEADLINE_MILLIS, NO_TIMEOUT, Integer.MAX_VALUE),
                (int) number(headers, CallHeaders.DEPTH, 0, MAX_DEPTH),
                flag(headers, CallHeaders.MAY_RETRY, true));
    }

    /** Returns whether the request is not idempotent and has a request id that is not a ticket. */
    boolean lacksTicket() {
        return !idempotent && ticket.isEmpty() && hasRequestId;
    }

    /** Returns the options for a route: the request is idempotent only if both the caller and the route say so. */
    CallOptions forRoute(boolean routeIsIdempotent) {
        return routeIsIdempotent || !idempotent
                ? this
                : new CallOptions(false, Optional.empty(), hasRequestId, timeoutMillis, depth, mayRetry);
    }

    /** Returns the deadline in microseconds, or {@link CallRequest#NO_DEADLINE} if the caller specified none. */
    long deadlineMicros(long arrivedMicros) {
        return timeoutMillis < 0 ? CallRequest.NO_DEADLINE : arrivedMicros + timeoutMillis * MICROS_PER_MILLI;
    }

    private static boolean flag(HttpHeaders headers, String header, boolean defaultValue)
            throws MalformedHeaderException {
        String value = headers.get(header);
        if (value == null) {
            return defaultValue;
        }
        if (!value.equals("true") && !value.equals("false")) {
            throw new MalformedHeaderException(header, "true or false");
        }
        return Boolean.parseBoolean(value);
    }

    private static long number(HttpHeaders headers, String header, long defaultValue, long max)
            throws MalformedHeaderException {
        String value = headers.get(header);
        if (value == null) {
            return defaultValue;
        }
        try {
            long number = Long.parseLong(value.trim());
            if (number >= 0 && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below, together with numbers that are out of range.
        }
        throw new MalformedHeaderException(header, "a whole number from 0 to " + max);
    }
}
