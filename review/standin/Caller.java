import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.atomic.AtomicLong;

/** A client with one kept connection to an entry host. Not thread-safe. */
final class Caller implements AutoCloseable {

    /** What a client saw of one request. */
    sealed interface Result {

        record Answered(int status, Http.Head head, byte[] body, long millis) implements Result {}

        /** The connection ended, or its answer was incomplete. */
        record Ended(String how, long millis) implements Result {}

        record Silent(long millis) implements Result {}
    }

    private static final AtomicLong NEXT_ID = new AtomicLong(0x51570000L);

    private final Record record;
    private final String name;
    private final String host;
    private final Socket socket = new Socket();
    private final InputStream in;

    Caller(String name, String host, String address, Record record) throws IOException {
        this.name = name;
        this.host = host;
        this.record = record;
        int colon = address.lastIndexOf(':');
        socket.setTcpNoDelay(true);
        socket.connect(
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                1_000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    static String newId() {
        return Long.toHexString(NEXT_ID.incrementAndGet());
    }

    /** Sends a request and waits for its whole answer until the deadline. */
    Result call(String method, String path, String id, byte[] body, int deadlineMillis) {
        long start = record.millis();
        try {
            record.line(name + " sends " + id + " " + method + " " + path + " with " + body.length + " bytes");
            socket.getOutputStream().write(request(method, path, id, body, deadlineMillis));
            socket.setSoTimeout(deadlineMillis);
            Http.Head head = Http.readHead(in);
            if (head == null) {
                return done(id, new Result.Ended("closed without an answer", record.millis() - start));
            }
            byte[] answer = Http.readResponseBody(in, head);
            return done(id, new Result.Answered(head.status(), head, answer, record.millis() - start));
        } catch (SocketTimeoutException e) {
            return done(id, new Result.Silent(record.millis() - start));
        } catch (IOException e) {
            return done(id, new Result.Ended(e.toString(), record.millis() - start));
        }
    }

    byte[] request(String method, String path, String id, byte[] body, int deadlineMillis) {
        String length = body.length > 0 ? "Content-Length: " + body.length + "\r\n" : "";
        byte[] head = Http.bytes(method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nHyssophitch-Request-Id: " + id
                + "\r\nHyssophitch-Deadline-Milliseconds: " + deadlineMillis + "\r\n" + length + "\r\n");
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }

    private Result done(String id, Result result) {
        String text =
                switch (result) {
                    case Result.Answered a ->
                        "answered " + a.status() + " after " + a.millis() + " ms"
                                + (a.head().header("Connection").isEmpty()
                                        ? ""
                                        : ", Connection: " + a.head().header("Connection"));
                    case Result.Ended e -> "ended after " + e.millis() + " ms: " + e.how();
                    case Result.Silent s -> "no answer within " + s.millis() + " ms";
                };
        record.line(name + " " + id + " " + text);
        return result;
    }

    Socket socket() {
        return socket;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
