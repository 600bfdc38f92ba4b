import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** One HTTP/1.1 message as it was read from a connection. */
final class Http {

    final String firstLine;
    final List<String[]> headers = new ArrayList<>();
    byte[] body = {};

    private Http(String firstLine) {
        this.firstLine = firstLine;
    }

    /** Reads a head; null if the peer has closed the connection before it. */
    static Http readHead(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Http m = new Http(first);
        for (String l = line(in); !l.isEmpty(); l = line(in)) {
            int colon = l.indexOf(':');
            m.headers.add(new String[] {l.substring(0, colon), l.substring(colon + 1).trim()});
        }
        return m;
    }

    /** Reads the body that the head announces. */
    void readBody(InputStream in, boolean untilClose) throws IOException {
        if (header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (int n = size(in); n > 0; n = size(in)) {
                all.write(exactly(in, n));
                line(in);
            }
            line(in);
            body = all.toByteArray();
        } else if (!header("Content-Length").isEmpty()) {
            body = exactly(in, Integer.parseInt(header("Content-Length")));
        } else if (untilClose) {
            body = in.readAllBytes();
        }
    }

    private static int size(InputStream in) throws IOException {
        String l = line(in);
        if (l == null) {
            throw new EOFException();
        }
        return Integer.parseInt(l.split(";")[0].trim(), 16);
    }

    static byte[] exactly(InputStream in, int n) throws IOException {
        byte[] b = in.readNBytes(n);
        if (b.length < n) {
            throw new EOFException("ends after " + b.length + " of " + n + " bytes");
        }
        return b;
    }

    String header(String name) {
        return headers.stream().filter(h -> h[0].equalsIgnoreCase(name)).map(h -> h[1]).findFirst().orElse("");
    }

    String method() {
        return firstLine.split(" ")[0];
    }

    String target() {
        return firstLine.split(" ")[1];
    }

    int status() {
        return Integer.parseInt(firstLine.split(" ")[1]);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream l = new ByteArrayOutputStream();
        int b = in.read();
        if (b < 0) {
            return null;
        }
        while (b != '\n') {
            if (b < 0) {
                throw new EOFException("ends in a head");
            }
            if (b != '\r') {
                l.write(b);
            }
            b = in.read();
        }
        return l.toString(StandardCharsets.ISO_8859_1);
    }
}
