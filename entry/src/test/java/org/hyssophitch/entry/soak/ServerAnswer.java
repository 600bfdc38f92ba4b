package org.hyssophitch.entry.soak;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** The whole answer that a server gives to a request. Its content follows from server and request id. */
final class ServerAnswer {

    static final String SIGNATURE = "Hyssophitch-Response-Signature";
    private static final int MAX_BODY_BYTES = 9_000;

    private ServerAnswer() {}

    static String signature(String server, String requestId) {
        return server + '/' + requestId;
    }

    /** Returns the server named in a signature; empty if it has another form. */
    static String server(String signature) {
        int slash = signature.indexOf('/');
        return slash < 0 ? "" : signature.substring(0, slash);
    }

    static byte[] body(String server, String requestId) {
        String text = "result of " + server + " for " + requestId + ';';
        int size = text.length() + Math.floorMod(requestId.hashCode() * 31, MAX_BODY_BYTES);
        byte[] all = Arrays.copyOf(text.getBytes(StandardCharsets.ISO_8859_1), size);
        Arrays.fill(all, text.length(), size, (byte) ('a' + Math.floorMod(requestId.hashCode(), 26)));
        return all;
    }
}
