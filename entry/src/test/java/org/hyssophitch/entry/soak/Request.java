package org.hyssophitch.entry.soak;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * A request of a caller.
 *
 * @param id unique in the run
 * @param method GET for safe requests, POST for others
 * @param path selects the route; servers read the work from it
 * @param isIdempotent whether it may run more than once
 * @param timeoutMillis timeout of the route
 * @param deadlineMillis time for which the caller waits
 * @param bodyBytes size of the request's body
 */
record Request(
        String id,
        String method,
        String path,
        boolean isIdempotent,
        long timeoutMillis,
        long deadlineMillis,
        int bodyBytes) {

    static final String HOST_NAME = "h.example";

    Request withId(String value) {
        return new Request(value, method, path, isIdempotent, timeoutMillis, deadlineMillis, bodyBytes);
    }

    byte[] encode() {
        String length = bodyBytes > 0 || method.equals("POST") ? "Content-Length: " + bodyBytes + "\r\n" : "";
        String head = method + ' ' + path + " HTTP/1.1\r\nHost: " + HOST_NAME + "\r\nHyssophitch-Request-Id: " + id
                + "\r\nHyssophitch-Deadline-Milliseconds: " + deadlineMillis + "\r\n" + length + "\r\n";
        byte[] bytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = Arrays.copyOf(bytes, bytes.length + bodyBytes);
        Arrays.fill(all, bytes.length, all.length, (byte) 'u');
        return all;
    }
}
