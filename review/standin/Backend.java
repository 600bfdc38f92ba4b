import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** A backend server: a number of slots, a short queue, a load header on each answer, and a health path. */
final class Backend {

    /** One request on one connection; a behaviour may answer it in its own way. */
    record Call(Backend backend, Http.Head head, InputStream in, OutputStream out, Socket socket) {

        String id() {
            return head.header("Hyssophitch-Request-Id");
        }
    }

    /** Handles a request whose body isn't read yet. Returns whether it did; otherwise the backend serves it as usual. */
    interface Behaviour {
        boolean handle(Call call) throws IOException, InterruptedException;
    }

    private static final int QUEUE_FACTOR = 2;

    private final String id;
    private final String service;
    private final String zone;
    private final int slots;
    private final Record record;
    private final Semaphore free;
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger waiting = new AtomicInteger();
    private final ServerSocket socket;
    private volatile Behaviour behaviour = c -> false;
    private volatile int workMillis;

    Backend(InetAddress ip, String id, String service, String zone, int slots, int workMillis, Record record)
            throws IOException {
        this(ip, id, service, zone, slots, workMillis, record, 0);
    }

    /** Creates a backend whose connections have a receive buffer of the given size; 0 leaves the usual one. */
    Backend(
            InetAddress ip,
            String id,
            String service,
            String zone,
            int slots,
            int workMillis,
            Record record,
            int receiveBytes)
            throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.workMillis = workMillis;
        this.record = record;
        free = new Semaphore(slots, true);
        socket = new ServerSocket();
        if (receiveBytes > 0) {
            socket.setReceiveBufferSize(receiveBytes);
        }
        socket.bind(new InetSocketAddress(ip, 0), 256);
        Thread.startVirtualThread(this::accept);
    }

    String id() {
        return id;
    }

    void setBehaviour(Behaviour value) {
        behaviour = value;
    }

    void setWorkMillis(int value) {
        workMillis = value;
    }

    /** Registers itself in the store. */
    void register(Store store) {
        store.put(
                "servers",
                id,
                Json.object(
                        "address",
                        socket.getInetAddress().getHostAddress() + ":" + socket.getLocalPort(),
                        "information",
                        Json.object("service", service, "version", "v1", "zone", zone, "slots", slots),
                        "status",
                        Json.object("state", "ready", "sequence", 4, "cold_remaining_ms", 0)));
    }

    private void accept() {
        while (!socket.isClosed()) {
            try {
                Socket s = socket.accept();
                s.setTcpNoDelay(true);
                Thread.startVirtualThread(() -> serve(s));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket s) {
        try (s) {
            InputStream in = new BufferedInputStream(s.getInputStream());
            OutputStream out = s.getOutputStream();
            for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                Call call = new Call(this, head, in, out, s);
                if (head.target().equals("/health")) {
                    out.write(Http.bytes("HTTP/1.1 200 OK\r\nHyssophitch-Instance-Id: " + id + "\r\n" + load()
                            + "Content-Length: 0\r\n\r\n"));
                } else if (!behaviour.handle(call)) {
                    serve(call);
                }
                out.flush();
            }
        } catch (IOException | InterruptedException e) {
            record.line("backend " + id + " connection ended: " + e.getMessage());
        }
    }

    /** Serves a request as a sound server does. */
    void serve(Call call) throws IOException, InterruptedException {
        Http.readRequestBody(call.in(), call.head());
        String instance = call.head().header("Hyssophitch-Expected-Instance");
        if (!instance.isEmpty() && !instance.equals(id)) {
            notExecuted(call, 421);
            return;
        }
        if (waiting.get() >= slots * QUEUE_FACTOR) {
            notExecuted(call, 503);
            return;
        }
        waiting.incrementAndGet();
        free.acquire();
        waiting.decrementAndGet();
        running.incrementAndGet();
        record.line("backend " + id + " runs " + call.id() + " " + call.head().startLine());
        record.run(call.id());
        try {
            Thread.sleep(workMillis);
        } finally {
            running.decrementAndGet();
            free.release();
        }
        byte[] body = Http.bytes("result of " + call.id());
        call.out().write(Http.bytes("HTTP/1.1 200 OK\r\nHyssophitch-Request-Id: " + call.id()
                + "\r\nHyssophitch-Response-Signature: " + signature(call.id()) + "\r\n" + load() + "Content-Length: "
                + body.length + "\r\n\r\n"));
        call.out().write(body);
        call.out().flush();
        record.line("backend " + id + " answered " + call.id());
    }

    /** Answers that a request is not run. */
    void notExecuted(Call call, int status) throws IOException {
        record.line("backend " + id + " turns away " + call.id() + " with " + status);
        call.out().write(Http.bytes("HTTP/1.1 " + status + " -\r\nHyssophitch-Not-Executed: 1\r\nHyssophitch-Request-Id: "
                + call.id() + "\r\nHyssophitch-Instance-Id: " + id + "\r\n" + load() + "Content-Length: 0\r\n\r\n"));
    }

    String load() {
        return "Hyssophitch-Server-Load: " + running.get() + "," + waiting.get() + "," + slots + ",100\r\n";
    }

    static String signature(String requestId) {
        return "5157." + requestId;
    }

    static void registerAll(Store store, List<Backend> backends) {
        backends.forEach(b -> b.register(store));
    }
}
