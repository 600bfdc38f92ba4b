import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server and the reading of messages, for the stand-ins. */
final class Http {

    /** Head and body of a request or response; header names are in lower case. */
    static final class Message {
        String start = "";
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = {};

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String method() {
            return start.split(" ")[0];
        }

        String target() {
            return start.split(" ")[1];
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Serves one connection. */
    interface Handler {
        void serve(Socket socket, InputStream in, OutputStream out) throws Exception;
    }

    /** A listener that serves each connection on a thread of its own. */
    static final class Server implements AutoCloseable {
        final ServerSocket socket = new ServerSocket();
        final Set<Socket> connections = ConcurrentHashMap.newKeySet();

        Server(String host, int port, Handler handler) throws IOException {
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(host, port), 1024);
            Thread.ofVirtual().start(() -> accept(handler));
        }

        int port() {
            return socket.getLocalPort();
        }

        private void accept(Handler handler) {
            while (!socket.isClosed()) {
                try {
                    Socket s = socket.accept();
                    s.setTcpNoDelay(true);
                    connections.add(s);
                    Thread.ofVirtual().start(() -> serve(handler, s));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Handler handler, Socket s) {
            try (s) {
                handler.serve(s, new BufferedInputStream(s.getInputStream(), 8192), s.getOutputStream());
            } catch (Exception e) {
                // The peer has closed the connection, or the test has ended.
            } finally {
                connections.remove(s);
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
            for (Socket s : connections) {
                s.close();
            }
        }
    }

    private Http() {}

    /** Reads a line without its end; null at the end of the input. */
    static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (line.length() == 0) {
                    return null;
                }
                throw new EOFException("in a line");
            }
            if (b != '\r') {
                line.append((char) b);
            }
        }
        return line.toString();
    }

    /** Reads the head of a message; null at the end of the input. */
    static Message head(InputStream in) throws IOException {
        String start = line(in);
        if (start == null) {
            return null;
        }
        Message m = new Message();
        m.start = start;
        for (String l = line(in); l != null && !l.isEmpty(); l = line(in)) {
            int colon = l.indexOf(':');
            m.headers.put(l.substring(0, colon).toLowerCase(Locale.ROOT), l.substring(colon + 1).trim());
        }
        return m;
    }

    /** Reads a whole message; null at the end of the input. */
    static Message read(InputStream in) throws IOException {
        Message m = head(in);
        if (m != null) {
            readBody(m, in);
        }
        return m;
    }

    static void readBody(Message m, InputStream in) throws IOException {
        if (m.header("transfer-encoding").equalsIgnoreCase("chunked")) {
            java.io.ByteArrayOutputStream all = new java.io.ByteArrayOutputStream();
            for (int n = chunk(in); n > 0; n = chunk(in)) {
                all.write(exactly(in, n));
                line(in);
            }
            line(in);
            m.body = all.toByteArray();
        } else if (!m.header("content-length").isEmpty()) {
            m.body = exactly(in, Integer.parseInt(m.header("content-length")));
        }
    }

    private static int chunk(InputStream in) throws IOException {
        String l = line(in);
        if (l == null) {
            throw new EOFException("in a body of chunks");
        }
        return Integer.parseInt(l.split(";")[0].trim(), 16);
    }

    static byte[] exactly(InputStream in, int n) throws IOException {
        byte[] bytes = in.readNBytes(n);
        if (bytes.length < n) {
            throw new EOFException("in a body");
        }
        return bytes;
    }

    static void writeHead(OutputStream out, int status, String headers, long length) throws IOException {
        out.write(("HTTP/1.1 " + status + " S\r\n" + headers + "Content-Length: " + length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
    }

    static void write(OutputStream out, int status, String headers, byte[] body) throws IOException {
        byte[] head = ("HTTP/1.1 " + status + " S\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = java.util.Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        out.write(all);
        out.flush();
    }
}
