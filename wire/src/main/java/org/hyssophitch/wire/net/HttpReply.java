package org.hyssophitch.wire.net;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * Response of an {@link HttpEndpoint}. Immutable.
 *
 * @param status HTTP status code
 * @param contentType value of the {@code Content-Type} header
 * @param body complete body
 * @param headers additional headers
 */
public record HttpReply(int status, String contentType, byte[] body, Map<String, String> headers) {

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    /** Creates a response with a JSON body. */
    public static HttpReply json(int status, String body) {
        return new HttpReply(status, "application/json", body.getBytes(StandardCharsets.UTF_8), Map.of());
    }

    /** Creates a response with status 200 and a plain text body. */
    public static HttpReply text(String body) {
        return new HttpReply(OK, "text/plain; charset=utf-8", body.getBytes(StandardCharsets.UTF_8), Map.of());
    }

    /** Creates a response with a body that isn't text. */
    public static HttpReply binary(int status, String contentType, byte[] body) {
        return new HttpReply(status, contentType, body, Map.of());
    }

    /** Creates a response without a body. */
    public static HttpReply empty(int status) {
        return new HttpReply(status, "text/plain", new byte[0], Map.of());
    }

    /** Creates the 404 response for an unknown path. */
    public static HttpReply notFound() {
        return json(NOT_FOUND, "{\"error\":\"no-such-path\"}");
    }

    /** Returns this response with the given additional headers. */
    public HttpReply withHeaders(Map<String, String> value) {
        return value.equals(headers) ? this : new HttpReply(status, contentType, body, value);
    }
}
