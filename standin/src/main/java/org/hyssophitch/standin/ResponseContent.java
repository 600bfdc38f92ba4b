package org.hyssophitch.standin;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Content of the answers of backend servers, which callers can check byte by byte. Stateless. */
public final class ResponseContent {

    private ResponseContent() {}

    /**
     * Returns the answer to a request.
     *
     * @param requestId name of the request
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

    /** Returns whether an answer is the whole answer to a request. */
    public static boolean isComplete(String requestId, int size, byte[] answer) {
        return Arrays.equals(of(requestId, size), answer);
    }
}
