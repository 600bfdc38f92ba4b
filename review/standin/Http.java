import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages on blocking streams. */
final class Http {

    /**
     * Head of a request or a response.
     *
     * @param startLine request line or status line
     * @param headers names in the case received, with values
     */
    record Head(String startLine, List<Map.Entry<String, String>> headers) {

        String header(String name) {
            return headers.stream()
                    .filter(h -> h.getKey().equalsIgnoreCase(name))
                    .map(Map.Entry::getValue)
                    .findFirst()
                    .orElse("");
        }

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        boolean isChunked() {
            return header("Transfer-Encoding").toLowerCase().contains("chunked");
        }

        long length() {
            String value = header("Content-Length");
            return value.isEmpty() ? -1 : Long.parseLong(value);
        }
    }

    private Http() {}

    /** Reads a head; returns null if the stream ends before its first byte. */
    static Head readHead(InputStream in) throws IOException {
        String start = readLine(in);
        while (start != null && start.isEmpty()) {
            start = readLine(in);
        }
        if (start == null) {
            return null;
        }
        List<Map.Entry<String, String>> headers = new ArrayList<>();
        for (String line = readLine(in); ; line = readLine(in)) {
            if (line == null) {
                throw new EOFException("stream ended within a head");
            }
            if (line.isEmpty()) {
                return new Head(start, headers);
            }
            int colon = line.indexOf(':');
            headers.add(Map.entry(line.substring(0, colon), line.substring(colon + 1).trim()));
        }
    }

    /** Reads a body that has a length or is chunked; one with neither is empty in a request. */
    static byte[] readRequestBody(InputStream in, Head head) throws IOException {
        if (head.isChunked()) {
            return readChunks(in);
        }
        return head.length() > 0 ? readExactly(in, (int) head.length()) : new byte[0];
    }

    /** Reads the body of a response; one with neither a length nor chunks ends with the stream. */
    static byte[] readResponseBody(InputStream in, Head head) throws IOException {
        if (head.isChunked()) {
            return readChunks(in);
        }
        return head.length() >= 0 ? readExactly(in, (int) head.length()) : in.readAllBytes();
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String line = readLine(in);
            if (line == null) {
                throw new EOFException("stream ended before the last chunk");
            }
            int size = Integer.parseInt(line.split(";")[0].trim(), 16);
            if (size == 0) {
                while (!"".equals(readLine(in))) {
                    // Trailers carry nothing that is needed here.
                }
                return body.toByteArray();
            }
            body.write(readExactly(in, size));
            readLine(in);
        }
    }

    private static byte[] readExactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("stream ended within a body");
        }
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); ; b = in.read()) {
            if (b < 0) {
                return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
            }
            if (b == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(b);
        }
    }
}
