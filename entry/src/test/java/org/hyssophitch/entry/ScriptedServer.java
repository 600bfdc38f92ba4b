package org.hyssophitch.entry;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Backend server for tests that writes raw responses, so that they can violate the protocol. Thread-safe. */
public final class ScriptedServer implements AutoCloseable {

    /** A received request; header names are lower-case. */
    public record Request(String line, Map<String, String> headers, String body) {
        public String id() {
            return headers.getOrDefault("hyssophitch-request-id", "");
        }
    }

    /** Responds to one request; returns whether the connection stays open. */
    public interface Script {
        boolean respond(Request request, Socket connection) throws IOException, InterruptedException;
    }

    private static final int DEFAULT_RECEIVE_BYTES = 131_072;

    private final ServerSocket socket;
    private final List<Request> requests = new CopyOnWriteArrayList<>();
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicInteger probes = new AtomicInteger();
    private final AtomicInteger open = new AtomicInteger();
    private final AtomicInteger abortedConnections = new AtomicInteger();
    private volatile Script script;
    private volatile Script probeScript = this::respondToProbe;
    private volatile String load = "0,0,3,100";
    private volatile int healthStatus = 200;

    public ScriptedServer(Script script) throws IOException {
        this(script, DEFAULT_RECEIVE_BYTES);
    }

    /**
     * Starts a server.
     *
     * @param receiveBytes size in bytes of the receive buffer of its connections; with a small one, a sender of a long
     *     body has to wait soon
     */
    public ScriptedServer(Script script, int receiveBytes) throws IOException {
        this.script = script;
        socket = new ServerSocket();
        socket.setReceiveBufferSize(receiveBytes);
        socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 50);
        Thread.startVirtualThread(this::accept);
    }

    /** Returns a script that responds with status 200, the request's id and the given body. */
    public static Script ok(String body) {
        return (r, c) -> {
            write(c, head(r, 200) + "Content-Length: " + body.length() + "\r\n\r\n" + body);
            return true;
        };
    }

    static String head(Request r, int status) {
        return "HTTP/1.1 " + status + " X\r\nHyssophitch-Request-Id: " + r.id()
                + "\r\nHyssophitch-Response-Signature: s\r\n";
    }

    public static void write(Socket connection, String text) throws IOException {
        OutputStream out = connection.getOutputStream();
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Sets the script that responds to load probes. */
    void setProbeScript(Script value) {
        probeScript = value;
    }

    public void setScript(Script value) {
        script = value;
    }

    void setLoad(String value) {
        load = value;
    }

    void setHealthStatus(int value) {
        healthStatus = value;
    }

    public int port() {
        return socket.getLocalPort();
    }

    /** Returns the requests received so far, without load probes. */
    List<Request> requests() {
        return requests;
    }

    /** Returns the number of load probes received so far. */
    int probes() {
        return probes.get();
    }

    int connections() {
        return connections.get();
    }

    /** Returns the number of connections that are open now. */
    int openConnections() {
        return open.get();
    }

    /** Returns the number of connections that the script recorded as closed by the entry host during a request. */
    int abortedConnections() {
        return abortedConnections.get();
    }

    void recordAbortedConnection() {
        abortedConnections.incrementAndGet();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    private boolean respondToProbe(Request probe, Socket connection) throws IOException {
        write(
                connection,
                "HTTP/1.1 " + healthStatus + " X\r\nContent-Length: 0\r\n"
                        + (load.isEmpty() ? "" : "Hyssophitch-Server-Load: " + load + "\r\n") + "\r\n");
        return true;
    }

    private void accept() {
        while (!socket.isClosed()) {
            try {
                Socket connection = socket.accept();
                connections.incrementAndGet();
                Thread.startVirtualThread(() -> serve(connection));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        open.incrementAndGet();
        try (connection) {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            boolean isKept = true;
            while (isKept) {
                Request r = read(in);
                if (r == null) {
                    return;
                }
                if (r.line().startsWith("GET /health ")) {
                    probes.incrementAndGet();
                    isKept = probeScript.respond(r, connection);
                    continue;
                }
                requests.add(r);
                isKept = script.respond(r, connection);
            }
        } catch (IOException | InterruptedException e) {
            // The entry host may close the connection at any time.
        } finally {
            open.decrementAndGet();
        }
    }

    private static Request read(InputStream in) throws IOException {
        String line = line(in);
        if (line.isEmpty()) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String h = line(in); !h.isEmpty(); h = line(in)) {
            int colon = h.indexOf(':');
            headers.put(
                    h.substring(0, colon).toLowerCase(), h.substring(colon + 1).trim());
        }
        return new Request(line, headers, body(in, headers));
    }

    private static String body(InputStream in, Map<String, String> headers) throws IOException {
        if ("chunked".equals(headers.get("transfer-encoding"))) {
            StringBuilder all = new StringBuilder();
            int size = Integer.parseInt(line(in), 16);
            while (size > 0) {
                all.append(new String(in.readNBytes(size), StandardCharsets.ISO_8859_1));
                line(in);
                size = Integer.parseInt(line(in), 16);
            }
            line(in);
            return all.toString();
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        boolean isLong = length > 1_000_000;
        return isLong ? "" : new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0 && b != '\n'; b = in.read()) {
            if (b != '\r') {
                out.write(b);
            }
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }
}
