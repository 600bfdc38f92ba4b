import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** A backend as PROTOCOL.md describes it, with slots, a short queue and a health path that answers at once. */
final class Backend implements AutoCloseable {

    /** What a backend does with a request that it runs. */
    interface Work {
        /** Runs a request; writes the answer to its connection. */
        void run(Run run) throws IOException, InterruptedException;
    }

    /** One request that runs. */
    final class Run {
        final Http request;
        final Socket socket;
        final OutputStream out;

        Run(Http request, Socket socket) throws IOException {
            this.request = request;
            this.socket = socket;
            this.out = socket.getOutputStream();
        }

        Backend backend() {
            return Backend.this;
        }

        String id() {
            return request.header("Hyssophitch-Request-Id");
        }

        String head(int status, int length) {
            return "HTTP/1.1 " + status + " X\r\nHyssophitch-Request-Id: " + id()
                    + "\r\nHyssophitch-Response-Signature: sig." + id() + '.' + length
                    + "\r\nHyssophitch-Server-Load: " + load() + "\r\nContent-Length: " + length + "\r\n\r\n";
        }

        void answer(int status, byte[] body) throws IOException {
            out.write(head(status, body.length).getBytes(StandardCharsets.US_ASCII));
            out.write(body);
            out.flush();
        }
    }

    final String service;
    final int number;
    final int slots;
    private final String ip;
    private final Work work;
    private final Recorder record;
    private final Semaphore free;
    private final AtomicInteger waiting = new AtomicInteger();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket listener;
    private volatile String id;
    private long born;
    private long sequence;
    private int port;

    Backend(String service, int number, String ip, int slots, Work work, Recorder record) throws IOException {
        this.service = service;
        this.number = number;
        this.ip = ip;
        this.slots = slots;
        this.work = work;
        this.record = record;
        this.free = new Semaphore(slots, true);
        start();
    }

    /** Starts a new incarnation with a new id at the address of the backend. */
    void start() throws IOException {
        ServerSocket opened = new ServerSocket();
        opened.setReuseAddress(true);
        opened.bind(new InetSocketAddress(ip, port), 256);
        port = opened.getLocalPort();
        id = "i-" + UUID.randomUUID().toString().substring(0, 8);
        born = System.currentTimeMillis();
        sequence = 0;
        listener = opened;
        Thread.startVirtualThread(() -> accept(opened));
        record.log("backend %s-%d starts as %s", service, number, id);
    }

    String id() {
        return id;
    }

    String name() {
        return service + '-' + number;
    }

    /** Returns the entry with which the backend registers in the store. */
    Map<String, Object> entry() {
        sequence++;
        Map<String, Object> information = new LinkedHashMap<>();
        information.put("service", service);
        information.put("zone", "zone-" + (char) ('a' + number % 3));
        information.put("version", "1");
        information.put("slots", (long) slots);
        Map<String, Object> status = new LinkedHashMap<>();
        status.put("state", "ready");
        status.put("sequence", sequence);
        status.put("cold_remaining_ms", 0L);
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("address", ip + ':' + port);
        entry.put("born", born);
        entry.put("information", information);
        entry.put("status", status);
        return entry;
    }

    private void accept(ServerSocket opened) {
        while (!opened.isClosed()) {
            try {
                Socket s = opened.accept();
                connections.add(s);
                Thread.startVirtualThread(() -> serve(s, opened));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket, ServerSocket opened) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 65_536);
            for (Http q = Http.readHead(in); q != null && !opened.isClosed(); q = Http.readHead(in)) {
                if (q.target().equals("/health")) {
                    socket.getOutputStream().write(("HTTP/1.1 200 OK\r\nHyssophitch-Instance-Id: " + id
                                    + "\r\nHyssophitch-Server-Load: " + load() + "\r\nContent-Length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
                    continue;
                }
                String expected = q.header("Hyssophitch-Expected-Instance");
                q.readBody(in, false);
                if (!expected.isEmpty() && !expected.equals(id)) {
                    reject(socket, q, 421, "Hyssophitch-Instance-Id: " + id + "\r\n");
                } else if (waiting.get() >= slots * 2) {
                    reject(socket, q, 503, "Hyssophitch-Not-Executed: 1\r\n");
                } else {
                    run(new Run(q, socket));
                }
            }
        } catch (IOException | InterruptedException e) {
            // The connection was closed by the other side or by a crash.
        } finally {
            connections.remove(socket);
        }
    }

    private void run(Run run) throws IOException, InterruptedException {
        waiting.incrementAndGet();
        free.acquire();
        waiting.decrementAndGet();
        try {
            work.run(run);
        } finally {
            free.release();
        }
    }

    private void reject(Socket socket, Http q, int status, String header) throws IOException {
        record.log("backend %s rejects %s with %d", name(), q.header("Hyssophitch-Request-Id"), status);
        socket.getOutputStream().write(("HTTP/1.1 " + status + " X\r\nHyssophitch-Request-Id: "
                        + q.header("Hyssophitch-Request-Id") + "\r\n" + header + "Hyssophitch-Server-Load: " + load()
                        + "\r\nContent-Length: 0\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
    }

    private String load() {
        return (slots - free.availablePermits()) + "," + waiting.get() + ',' + slots + ",100";
    }

    /** Ends the backend at once: its port and all of its connections are closed with a reset. */
    void crash() throws IOException {
        listener.close();
        for (Socket s : connections) {
            s.setSoLinger(true, 0);
            s.close();
        }
    }

    @Override
    public void close() throws IOException {
        crash();
    }
}
