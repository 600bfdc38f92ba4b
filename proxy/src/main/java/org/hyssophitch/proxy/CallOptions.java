package org.hyssophitch.proxy;

import java.util.Optional;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaders;
import org.hyssophitch.core.atmostonce.Ticket;
import org.hyssophitch.core.call.CallRequest;
import org.hyssophitch.wire.report.CallHeaders;

/**
 * What the headers of a caller's request say about how to treat it. Immutable.
 *
 * @param idempotent whether the request may run more than once
 * @param ticket ticket of a non-idempotent request
 * @param hasRequestId whether the caller gave the request a name
 * @param timeoutMillis time in milliseconds that the caller waits; negative when it doesn't say
 * @param depth number of calls above this one in the chain
 * @param mayRetry whether no call above this one is a retry already
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
     * Reads the headers.
     *
     * @throws MalformedHeaderException when a header has a value that is not allowed
     */
    static CallOptions of(String method, HttpHeaders headers) throws MalformedHeaderException {
        boolean isIdempotent = flag(headers, CallHeaders.IDEMPOTENT, IDEMPOTENT_METHODS.contains(method));
        String name = headers.get(CallHeaders.REQUEST_ID);
        Optional<Ticket> ticket = isIdempotent || name == null ? Optional.empty() : Ticket.parse(name);
        return new CallOptions(
                isIdempotent,
                ticket,
                name != null,
                number(headers, CallHeaders.DEADLINE_MILLIS, NO_TIMEOUT, Integer.MAX_VALUE),
                (int) number(headers, CallHeaders.DEPTH, 0, MAX_DEPTH),
                flag(headers, CallHeaders.MAY_RETRY, true));
    }

    /** Returns whether the caller named a non-idempotent request by something else than a ticket. */
    boolean lacksTicket() {
        return !idempotent && ticket.isEmpty() && hasRequestId;
    }

    /** Returns these wishes for a route, which may forbid what the caller allows. */
    CallOptions forRoute(boolean routeIsIdempotent) {
        return routeIsIdempotent || !idempotent
                ? this
                : new CallOptions(false, Optional.empty(), hasRequestId, timeoutMillis, depth, mayRetry);
    }

    /** Returns the time in microseconds by which the caller needs its answer. */
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
            // Reported below, like a number out of range.
        }
        throw new MalformedHeaderException(header, "a whole number from 0 to " + max);
    }
}
