import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Some backends give answers without a length, and send a second answer to an early request of the connection late. */
final class LateCopy {

    private static final int HOSTS = 2;
    private static final int BACKENDS = 4;
    private static final int FAULTY = 2;
    private static final double SPOILED_SHARE = 0.02;
    private static final int CLIENTS = 8;
    private static final long PAUSE_MILLIS = 30;
    private static final long CALM_MILLIS = 15_000;
    private static final long TROUBLE_MILLIS = 5_000;
    private static final int ROUNDS = 3;
    /** Requests that a connection has carried since the one that is answered again. */
    private static final int BETWEEN = Integer.parseInt(System.getenv().getOrDefault("BETWEEN", "130"));

    /** What one connection of a backend has carried. */
    private static final class Carried {
        private final List<String> ids = new ArrayList<>();
    }

    private final Recorder record;
    private final Map<Socket, Carried> carried = new ConcurrentHashMap<>();
    private final AtomicLong sequence = new AtomicLong();
    private final AtomicInteger spoiled = new AtomicInteger();
    private final AtomicInteger mixed = new AtomicInteger();
    private final AtomicInteger whole = new AtomicInteger();
    private final Random random = new Random(51);
    private volatile boolean isSpoiling;
    private volatile boolean isEnded;

    private LateCopy(Recorder record) {
        this.record = record;
    }

    public static void main(String[] args) {
        Case.run(args, (t, r) -> new LateCopy(r).run(t));
    }

    private boolean run(boolean isTrouble) throws Exception {
        String network = Fleet.freeNetwork(HOSTS + 2);
        Store store = new Store(network + (HOSTS + 1));
        store.put("config", "main", new Config(7)
                .cluster("parts")
                .route("/parts/", "safe", "parts", 300, 2_000, 2)
                .build());
        List<Backend> backends = new ArrayList<>();
        for (int i = 0; i < BACKENDS; i++) {
            Backend b = new Backend("parts", i, network + (HOSTS + 1), 3, this::work, record);
            backends.add(b);
            store.put("servers", b.id(), b.entry());
        }
        try (Fleet fleet = new Fleet(HOSTS, network, store.address(), "", record)) {
            fleet.start();
            Thread.sleep(5_000);
            List<Thread> clients = new ArrayList<>();
            for (int c = 0; c < CLIENTS; c++) {
                int client = c;
                clients.add(Thread.startVirtualThread(() -> client(fleet.hosts.get(client % HOSTS))));
            }
            for (int i = 0; i < ROUNDS; i++) {
                Thread.sleep(CALM_MILLIS);
                isSpoiling = isTrouble;
                Thread.sleep(TROUBLE_MILLIS);
                isSpoiling = false;
            }
            isEnded = true;
            for (Thread t : clients) {
                t.join();
            }
        } finally {
            for (Backend b : backends) {
                b.close();
            }
            store.close();
        }
        record.log("%d whole answers; %d answers were spoiled", whole.get(), spoiled.get());
        record.log("%d clients got a success whose body holds the answer to another request (allowed: 0)", mixed.get());
        return mixed.get() > 0;
    }

    private static byte[] body(String id) {
        return ("the parts of " + id + ' ').repeat(10).getBytes(StandardCharsets.US_ASCII);
    }

    private void work(Backend.Run r) throws IOException, InterruptedException {
        Carried c = carried.computeIfAbsent(r.socket, s -> new Carried());
        c.ids.add(r.id());
        Thread.sleep(5);
        boolean isSpoiled;
        synchronized (random) {
            isSpoiled = isSpoiling && r.backend().number < FAULTY && random.nextDouble() < SPOILED_SHARE;
        }
        int earlier = c.ids.size() - 1 - BETWEEN;
        if (!isSpoiled || earlier < 0) {
            r.answer(200, body(r.id()));
            return;
        }
        spoiled.incrementAndGet();
        String old = c.ids.get(earlier);
        record.log("%s answers %s without a length, gives its second answer to %s late, and closes", r.backend().name(), r.id(), old);
        String head = "HTTP/1.1 200 X\r\nHyssophitch-Request-Id: " + r.id() + "\r\nHyssophitch-Response-Signature: sig."
                + r.id() + "\r\nHyssophitch-Server-Load: 0,0,3,100\r\n\r\n";
        r.out.write(head.getBytes(StandardCharsets.US_ASCII));
        r.out.write(body(r.id()));
        byte[] late = body(old);
        r.out.write(("HTTP/1.1 200 X\r\nHyssophitch-Request-Id: " + old + "\r\nHyssophitch-Response-Signature: sig." + old
                        + "\r\nHyssophitch-Server-Load: 0,0,3,100\r\nContent-Length: " + late.length + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
        r.out.write(late);
        r.out.flush();
        r.socket.close();
    }

    private void client(Fleet.Host h) {
        while (!isEnded) {
            try (Sender s = new Sender(h.front(), 3_000)) {
                while (!isEnded) {
                    String id = String.format("%016x", sequence.incrementAndGet());
                    s.send(Sender.head("GET", "/parts/" + id, id, 2_000, -1), new byte[0]);
                    Http a = s.answer();
                    if (a == null) {
                        break;
                    }
                    if (a.status() != 200) {
                        record.log("answer to %s: %s", id, a.firstLine);
                    } else if (Arrays.equals(a.body, body(id))) {
                        whole.incrementAndGet();
                    } else {
                        mixed.incrementAndGet();
                        record.log("the client of %s gets, as a whole success: %s", id,
                                new String(a.body, StandardCharsets.US_ASCII).replaceAll("\\s+", " "));
                    }
                    Thread.sleep(PAUSE_MILLIS);
                }
            } catch (IOException | InterruptedException e) {
                record.log("the connection of a client to %s ends: %s", h.name, e);
            }
        }
    }
}
