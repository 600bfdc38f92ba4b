package org.hyssophitch.standin;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Generates the response bodies of fake backend servers, so that callers can verify each byte. Stateless. */
public final class ResponseContent {

    private ResponseContent() {}

    /**
     * Returns the response body for a request: its id, repeated up to the size.
     *
     * @param requestId id of the request
     * @param size size in bytes
     */
    public static byte[] of(String requestId, int size) {
        byte[] line = (requestId + '\n').getBytes(StandardCharsets.UTF_8);
        byte[] content = new byte[size];
        for (int i = 0; i < size; i += line.length) {
            System.arraycopy(line, 0, content, i, Math.min(line.length, size - i));
        }
        return content;
    }

    /** Returns whether a response body is complete and belongs to the request. */
    public static boolean isComplete(String requestId, int size, byte[] body) {
        return Arrays.equals(of(requestId, size), body);
    }
}
