package org.hyssophitch.proxy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;

import io.javalin.http.Context;
import org.hyssophitch.core.atmostonce.Ticket;
import org.hyssophitch.core.call.CallRequest;
import org.hyssophitch.wire.duty.WallClock;
import org.hyssophitch.wire.report.CallHeaders;

/**
 * A caller's request as the proxy takes it from HTTP. Immutable, but for the body of a large request, which can be read
 * once.
 *
 * @param call what the engine has to know
 * @param method HTTP method
 * @param target path and query to send to the backend server
 * @param body body of a small request, or null when it has to be streamed or there is none
 * @param hasStreamedBody whether the body has to be streamed
 */
record CallerRequest(CallRequest call, String method, String target, byte[] body, boolean hasStreamedBody) {

    /** Largest body in bytes that is kept for a second attempt. */
    static final int MAX_KEPT_BODY_BYTES = 65_536;

    private static final String PREFIX = "/services/";
    private static final Set<String> IDEMPOTENT_METHODS = Set.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "QUERY");
    private static final long MICROS_PER_MILLI = 1_000;
    private static final int MAX_DEPTH = 16;
    private static final int FINGERPRINT_BYTES = 8;

    /** What is wrong with a request that can't be taken. */
    static final class MalformedRequestException extends Exception {
        private static final long serialVersionUID = 1L;
        private final String header;
        private final String allowed;

        MalformedRequestException(String header, String allowed) {
            super(header + ": allowed is " + allowed);
            this.header = header;
            this.allowed = allowed;
        }

        String header() {
            return header;
        }

        String allowed() {
            return allowed;
        }
    }

    /**
     * Takes a request.
     *
     * @throws MalformedRequestException when a header has a value that is not allowed
     * @throws IOException when the caller's connection fails
     */
    static CallerRequest from(Context context, long callId) throws MalformedRequestException, IOException {
        String method = context.req().getMethod();
        String path = context.req().getRequestURI().substring(PREFIX.length());
        int slash = path.indexOf('/');
        String service = slash < 0 ? path : path.substring(0, slash);
        String query = context.req().getQueryString();
        String target = (slash < 0 ? "/" : path.substring(slash)) + (query == null ? "" : "?" + query);
        long length = context.req().getContentLengthLong();
        boolean isChunked = context.header("Transfer-Encoding") != null;
        boolean hasStreamedBody = isChunked || length > MAX_KEPT_BODY_BYTES;
        byte[] body = hasStreamedBody || length <= 0
                ? null
                : context.req().getInputStream().readNBytes((int) length);
        if (body != null && body.length < length) {
            throw new IOException("caller's body ended after " + body.length + " of " + length + " bytes");
        }
        String fingerprint = fingerprint(method, service, target, body);
        CallRequest call = describe(context, callId, service, !hasStreamedBody, fingerprint);
        return new CallerRequest(call, method, target, body, hasStreamedBody);
    }

    private static CallRequest describe(
            Context context, long callId, String service, boolean isReplayable, String fingerprint)
            throws MalformedRequestException {
        String requestId = context.header(CallHeaders.REQUEST_ID);
        boolean isIdempotent = flag(
                context,
                CallHeaders.IDEMPOTENT,
                IDEMPOTENT_METHODS.contains(context.req().getMethod()));
        Optional<Ticket> ticket = isIdempotent || requestId == null ? Optional.empty() : Ticket.parse(requestId);
        long millis = number(context, CallHeaders.DEADLINE_MILLIS, -1, Integer.MAX_VALUE);
        long deadline = millis < 0 ? CallRequest.NO_DEADLINE : WallClock.nowMicros() + millis * MICROS_PER_MILLI;
        return new CallRequest(
                callId,
                requestId == null ? UUID.randomUUID().toString() : requestId,
                service,
                isIdempotent,
                ticket,
                deadline,
                (int) number(context, CallHeaders.DEPTH, 0, MAX_DEPTH),
                flag(context, CallHeaders.MAY_RETRY, true),
                isReplayable,
                fingerprint);
    }

    /** Returns whether the caller named a non-idempotent request by something else than a ticket. */
    boolean lacksTicket(Context context) {
        return !call.idempotent() && call.ticket().isEmpty() && context.header(CallHeaders.REQUEST_ID) != null;
    }

    private static boolean flag(Context context, String header, boolean defaultValue) throws MalformedRequestException {
        String value = context.header(header);
        if (value == null) {
            return defaultValue;
        }
        if (!value.equals("true") && !value.equals("false")) {
            throw new MalformedRequestException(header, "true or false");
        }
        return Boolean.parseBoolean(value);
    }

    private static long number(Context context, String header, long defaultValue, long most)
            throws MalformedRequestException {
        String value = context.header(header);
        if (value == null) {
            return defaultValue;
        }
        try {
            long number = Long.parseLong(value.trim());
            if (number >= 0 && number <= most) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below, like a number out of range.
        }
        throw new MalformedRequestException(header, "a whole number from 0 to " + most);
    }

    private static String fingerprint(String method, String service, String target, byte[] body) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update((method + ' ' + service + ' ' + target).getBytes(StandardCharsets.UTF_8));
            if (body != null) {
                digest.update(body);
            }
            return HexFormat.of().formatHex(digest.digest(), 0, FINGERPRINT_BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new MissingDigestException(e);
        }
    }
}
