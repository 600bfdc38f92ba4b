package org.hyssophitch.entry.soak;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * An HTTP/1.1 message as it was received.
 *
 * @param startLine request line or status line
 * @param headers first value of each header by its lower-case name
 * @param body body without its framing
 */
record HttpMessage(String startLine, Map<String, String> headers, byte[] body) {

    private static final String STATUS_LINE_START = "HTTP/1.1 ";
    private static final int MAX_LINE_BYTES = 16_384;
    private static final int INFORMATIONAL_END = 200;
    private static final int NO_CONTENT = 204;

    /** Bytes that can't be the start of an answer, or an answer that isn't framed as HTTP. */
    static final class MalformedException extends IOException {

        private static final long serialVersionUID = 1L;

        MalformedException(String message) {
            super(message);
        }
    }

    String header(String name) {
        return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    String target() {
        return startLine.split(" ")[1];
    }

    int status() {
        return Integer.parseInt(startLine.substring(STATUS_LINE_START.length(), STATUS_LINE_START.length() + 3));
    }

    /** Reads the head of a request; returns null if the stream ends before its first byte. */
    static HttpMessage readRequestHead(InputStream in) throws IOException {
        String line = readLine(in);
        return line == null ? null : new HttpMessage(line, readHeaders(in), new byte[0]);
    }

    /** Reads a whole response; returns null if the stream ends before its first byte. */
    static HttpMessage readResponse(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        if (!line.matches("HTTP/1\\.1 [1-5][0-9][0-9]( .*)?")) {
            throw new MalformedException("not a status line: " + line);
        }
        HttpMessage head = new HttpMessage(line, readHeaders(in), new byte[0]);
        if (head.status() < INFORMATIONAL_END) {
            return readResponse(in);
        }
        return head.status() == NO_CONTENT ? head : head.withBody(head.readBody(in, true));
    }

    /** Reads the body of a request whose head this is. */
    HttpMessage withRequestBody(InputStream in) throws IOException {
        return withBody(readBody(in, false));
    }

    private HttpMessage withBody(byte[] value) {
        return new HttpMessage(startLine, headers, value);
    }

    private byte[] readBody(InputStream in, boolean mayEndWithStream) throws IOException {
        if (header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            return readChunks(in);
        }
        String length = header("Content-Length");
        if (!length.isEmpty()) {
            return readExactly(in, Integer.parseInt(length));
        }
        return mayEndWithStream ? in.readAllBytes() : new byte[0];
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (int size = readChunkSize(in); size > 0; size = readChunkSize(in)) {
            all.write(readExactly(in, size));
            readLine(in);
        }
        readHeaders(in);
        return all.toByteArray();
    }

    private static int readChunkSize(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            throw new EOFException("ended before the last chunk");
        }
        try {
            return Integer.parseInt(line.split(";")[0].trim(), 16);
        } catch (NumberFormatException e) {
            throw new MalformedException("not a chunk size: " + line);
        }
    }

    private static byte[] readExactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("ended within a body: " + bytes.length + " of " + size + " bytes");
        }
        return bytes;
    }

    private static Map<String, String> readHeaders(InputStream in) throws IOException {
        Map<String, String> headers = new TreeMap<>();
        List<String> lines = new ArrayList<>();
        for (String line = readLine(in); line == null || !line.isEmpty(); line = readLine(in)) {
            if (line == null) {
                throw new EOFException("ended within a head");
            }
            lines.add(line);
        }
        for (String line : lines) {
            String[] parts = line.split(":", 2);
            if (parts.length < 2) {
                throw new MalformedException("not a header: " + line);
            }
            headers.putIfAbsent(parts[0].toLowerCase(Locale.ROOT), parts[1].trim());
        }
        return headers;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (line.size() > 0) {
                    throw new EOFException("ended within a line");
                }
                return null;
            }
            if (line.size() > MAX_LINE_BYTES) {
                throw new MalformedException("a line of more than " + MAX_LINE_BYTES + " bytes");
            }
            line.write(b);
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }
}
