package org.hyssophitch.wire.net;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * One answer of a small HTTP endpoint. Immutable.
 *
 * @param status HTTP status
 * @param contentType content type
 * @param body whole body
 * @param headers further headers
 */
public record HttpReply(int status, String contentType, byte[] body, Map<String, String> headers) {

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    /** Creates an answer with a JSON body. */
    public static HttpReply json(int status, String body) {
        return new HttpReply(status, "application/json", body.getBytes(StandardCharsets.UTF_8), Map.of());
    }

    /** Creates an answer with a text body. */
    public static HttpReply text(String body) {
        return new HttpReply(OK, "text/plain; charset=utf-8", body.getBytes(StandardCharsets.UTF_8), Map.of());
    }

    /** Creates an answer without a body. */
    public static HttpReply empty(int status) {
        return new HttpReply(status, "text/plain", new byte[0], Map.of());
    }

    /** Creates the answer for a path that doesn't exist. */
    public static HttpReply notFound() {
        return json(NOT_FOUND, "{\"error\":\"no-such-path\"}");
    }

    /** Returns this answer with further headers. */
    public HttpReply withHeaders(Map<String, String> value) {
        return value.equals(headers) ? this : new HttpReply(status, contentType, body, value);
    }
}
