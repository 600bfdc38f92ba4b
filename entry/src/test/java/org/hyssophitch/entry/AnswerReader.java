package org.hyssophitch.entry;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Reads complete responses from a connection to an entry host. Not thread-safe. */
final class AnswerReader {

    /** A complete response; header names are lower-case. */
    record Answer(int status, Map<String, String> headers, String body) {}

    private final InputStream in;

    AnswerReader(InputStream in) {
        this.in = in;
    }

    /** Reads one response, without its body if it answers a HEAD request; fails if it is incomplete. */
    Answer read(boolean isHead) throws IOException {
        String statusLine = line();
        if (!statusLine.startsWith("HTTP/1.1 ")) {
            throw new IllegalStateException("no response: " + statusLine);
        }
        int status = Integer.parseInt(statusLine.substring(9, 12));
        Map<String, String> headers = new TreeMap<>();
        for (String l = line(); !l.isEmpty(); l = line()) {
            int colon = l.indexOf(':');
            headers.merge(
                    l.substring(0, colon).toLowerCase(), l.substring(colon + 1).trim(), (a, b) -> a + ',' + b);
        }
        return new Answer(status, headers, isHead ? "" : body(headers));
    }

    private String body(Map<String, String> headers) throws IOException {
        if (!headers.containsKey("transfer-encoding")) {
            return exactly(Integer.parseInt(headers.get("content-length")));
        }
        StringBuilder body = new StringBuilder();
        int size = Integer.parseInt(line(), 16);
        while (size > 0) {
            body.append(exactly(size));
            line();
            size = Integer.parseInt(line(), 16);
        }
        line();
        return body.toString();
    }

    private String exactly(int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("incomplete body");
        }
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    private String line() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException("connection closed");
            }
            if (b != '\r') {
                out.write(b);
            }
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }
}
