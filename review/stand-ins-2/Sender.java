import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's connection to an entry host. */
final class Sender implements AutoCloseable {

    static final String HOST = "desk.example";

    private static final int SEGMENT_BYTES = 1_448;

    final Socket socket = new Socket();
    final InputStream in;
    final OutputStream out;

    Sender(InetSocketAddress front, int answerTimeoutMillis) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(front, 1_000);
        socket.setSoTimeout(answerTimeoutMillis);
        in = new BufferedInputStream(socket.getInputStream(), 65_536);
        out = socket.getOutputStream();
    }

    static byte[] head(String method, String path, String id, long deadlineMillis, int length, String... further) {
        StringBuilder h = new StringBuilder(method + ' ' + path + " HTTP/1.1\r\nHost: " + HOST
                + "\r\nHyssophitch-Request-Id: " + id + "\r\nHyssophitch-Deadline-Milliseconds: " + deadlineMillis + "\r\n");
        for (String f : further) {
            h.append(f).append("\r\n");
        }
        if (length >= 0) {
            h.append("Content-Length: ").append(length).append("\r\n");
        }
        return h.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Sends a body in pieces, as a program does that reads it from a file. */
    void send(byte[] head, byte[] body) throws IOException {
        out.write(head);
        for (int at = 0; at < body.length; at += 8_192) {
            out.write(body, at, Math.min(8_192, body.length - at));
        }
        out.flush();
    }

    /** Sends a body over a link of some Mbit/s, in the segments of an Ethernet. */
    void sendOverLink(byte[] head, byte[] body, int megabits) throws IOException, InterruptedException {
        out.write(head);
        long start = System.nanoTime();
        for (int at = 0; at < body.length; at += SEGMENT_BYTES) {
            long due = start + at * 8_000L / megabits;
            long early = due - System.nanoTime();
            if (early > 0) {
                Thread.sleep(early / 1_000_000, (int) (early % 1_000_000));
            }
            out.write(body, at, Math.min(SEGMENT_BYTES, body.length - at));
        }
        out.flush();
    }

    /** Reads one whole answer; null if the connection ends before it. */
    Http answer() throws IOException {
        Http a = Http.readHead(in);
        while (a != null && a.status() / 100 == 1) {
            a = Http.readHead(in);
        }
        if (a != null) {
            a.readBody(in, true);
        }
        return a;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
