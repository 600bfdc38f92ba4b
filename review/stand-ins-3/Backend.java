import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-in for a backend server: registers itself in the store, works for a time, and answers with a signature. */
class Backend implements AutoCloseable {

    static final byte[] BLOCK = new byte[16_384];

    final Lab lab;
    final String id;
    final String service;
    final String host;
    final int slots;
    final long born = System.currentTimeMillis();
    final Http.Server server;
    final AtomicInteger running = new AtomicInteger();
    final AtomicInteger runs = new AtomicInteger();
    final AtomicLong sequence = new AtomicLong();
    final Semaphore slot;
    volatile String state = "ready";
    volatile long workMillis = 50;
    volatile int answerBytes = 400;
    volatile boolean isLeaving;
    private volatile boolean isClosed;

    Backend(Lab lab, String id, String service, int slots) throws IOException {
        this.lab = lab;
        this.id = id;
        this.service = service;
        this.slots = slots;
        this.slot = new Semaphore(slots);
        this.host = lab.newHost();
        this.server = new Http.Server(host, 0, this::serve);
    }

    String specification() {
        return "{\"address\":\"" + host + ":" + server.port() + "\",\"born\":" + born + ",\"information\":{\"service\":\""
                + service + "\",\"version\":\"v1\",\"zone\":\"z1\",\"slots\":" + slots + "},\"status\":{\"state\":\""
                + state + "\",\"sequence\":" + sequence.incrementAndGet() + ",\"cold_remaining_ms\":0}}";
    }

    void register() {
        lab.store.put("servers", id, specification());
        lab.note("backend %s of %s registered as %s", id, service, state);
        Thread.ofVirtual().start(() -> {
            while (!isClosed) {
                Lab.pause(1500);
                lab.store.replaceQuietly("servers", id, specification());
            }
        });
    }

    String load() {
        return "Hyssophitch-Server-Load: " + running.get() + ",0," + slots + ",100\r\n";
    }

    String marks(Http.Message m) {
        return "Hyssophitch-Request-Id: " + m.header("hyssophitch-request-id") + "\r\n" + load()
                + (isLeaving ? "Server-Leaving: 1\r\n" : "");
    }

    String signature(Http.Message m) {
        return "Hyssophitch-Response-Signature: " + id + "." + m.header("hyssophitch-request-id") + "\r\n";
    }

    private void serve(Socket socket, InputStream in, OutputStream out) throws Exception {
        for (Http.Message m = Http.head(in); m != null; m = Http.head(in)) {
            if (m.target().equals("/health")) {
                Http.write(
                        out,
                        state.equals("ready") && !isLeaving ? 200 : 503,
                        "Hyssophitch-Instance-Id: " + id + "\r\n" + load() + (isLeaving ? "Server-Leaving: 1\r\n" : ""),
                        new byte[0]);
                continue;
            }
            String expected = m.header("hyssophitch-expected-instance");
            if (!expected.isEmpty() && !expected.equals(id)) {
                Http.readBody(m, in);
                Http.write(out, 421, "Hyssophitch-Instance-Id: " + id + "\r\n" + marks(m), new byte[0]);
                continue;
            }
            run(socket, m, in, out);
        }
    }

    /** Runs a request whose head was read. */
    void run(Socket socket, Http.Message m, InputStream in, OutputStream out) throws Exception {
        Http.readBody(m, in);
        if (!slot.tryAcquire()) {
            Http.write(out, 503, "Hyssophitch-Not-Executed: 1\r\n" + marks(m), new byte[0]);
            return;
        }
        running.incrementAndGet();
        runs.incrementAndGet();
        lab.note("backend %s runs %s", id, m.header("hyssophitch-request-id"));
        try {
            Lab.pause(workMillis);
        } finally {
            running.decrementAndGet();
            slot.release();
        }
        answer(m, out);
    }

    /** Writes the answer; one block serves bodies of any size. */
    void answer(Http.Message m, OutputStream out) throws IOException {
        int size = answerBytes;
        Http.writeHead(out, 200, marks(m) + signature(m), size);
        for (int left = size; left > 0; left -= BLOCK.length) {
            out.write(BLOCK, 0, Math.min(left, BLOCK.length));
        }
        out.flush();
    }

    @Override
    public void close() throws IOException {
        isClosed = true;
        server.close();
    }
}
