import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A large upload crashes each backend that begins to run it, and comes again with the same path and body. */
final class DeadlyUpload {

    private static final int HOSTS = 5;
    private static final int BACKENDS = 8;
    private static final int UPLOADS = 24;
    private static final long PAUSE_MILLIS = 2_500;
    private static final int LINK_MBPS = 100;
    private static final int DEADLINE_MILLIS = 8_000;
    private static final long DOWN_MILLIS = 3_000;
    private static final long HEARTBEAT_MILLIS = 1_500;
    private static final String PATH = "/upload/deadly";

    private static final long STABILITY_WINDOW_MILLIS = 3_000;
    private static final int MAX_RETRIES = 3;

    private final Recorder record;
    private final byte[] body = new byte[Integer.parseInt(System.getenv().getOrDefault("BODY_BYTES", "150000"))];
    private final Map<String, Long> sent = new ConcurrentHashMap<>();
    private final AtomicInteger crashes = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger lostOthers = new AtomicInteger();
    private volatile long thirdCrash = Long.MAX_VALUE;
    private volatile boolean isEnded;
    private Store store;

    private DeadlyUpload(Recorder record) {
        this.record = record;
        new Random(7).nextBytes(body);
    }

    public static void main(String[] args) {
        Case.run(args, (t, r) -> new DeadlyUpload(r).run(t));
    }

    private boolean run(boolean isTrouble) throws Exception {
        String network = Fleet.freeNetwork(HOSTS + 2);
        store = new Store(network + (HOSTS + 1));
        store.put("config", "main", new Config(7)
                .cluster("ingest")
                .route("/upload/", "upload", "ingest", 4_000, DEADLINE_MILLIS, 1)
                .route("/desk/", "unsafe", "ingest", 1_000, 3_000, 1)
                .build());
        List<Backend> backends = new ArrayList<>();
        for (int i = 0; i < BACKENDS; i++) {
            Backend b = new Backend("ingest", i, network + (HOSTS + 1), 3, r -> work(r, isTrouble), record);
            backends.add(b);
            store.put("servers", b.id(), b.entry());
        }
        try (Fleet fleet = new Fleet(HOSTS, network, store.address(), "", record)) {
            fleet.start();
            Thread.sleep(5_000);
            Thread others = Thread.startVirtualThread(() -> sendOthers(fleet));
            for (int i = 0; i < UPLOADS; i++) {
                upload(fleet.hosts.get(i % HOSTS), String.format("%016x", 0x1000 + i));
                Thread.sleep(PAUSE_MILLIS);
            }
            isEnded = true;
            others.join();
        } finally {
            for (Backend b : backends) {
                b.close();
            }
            store.close();
        }
        record.log("%d crashes; %d other requests lost by those later than the window", crashes.get(), lostOthers.get());
        record.log("%d retries that were sent later than %d ms after the third crash reached a backend (allowed: %d)",
                late.get(), STABILITY_WINDOW_MILLIS, MAX_RETRIES);
        return late.get() > MAX_RETRIES;
    }

    private void work(Backend.Run r, boolean isTrouble) throws IOException, InterruptedException {
        if (!r.request.target().equals(PATH)) {
            Thread.sleep(250);
            r.answer(200, new byte[400]);
            return;
        }
        record.log("%s runs at %s", r.id(), r.backend().name());
        if (!isTrouble) {
            r.answer(200, new byte[500]);
            return;
        }
        if (isLate(sent.get(r.id()))) {
            late.incrementAndGet();
        }
        String old = r.backend().id();
        long now = record.log("%s crashes", r.backend().name());
        r.backend().crash();
        if (crashes.incrementAndGet() == 3) {
            thirdCrash = now;
        }
        Thread.startVirtualThread(() -> comeBack(r.backend(), old));
    }

    private boolean isLate(long millis) {
        return thirdCrash != Long.MAX_VALUE && millis > thirdCrash + STABILITY_WINDOW_MILLIS;
    }

    /** The new incarnation registers; the entry of the old one goes after three heartbeat intervals of silence. */
    private void comeBack(Backend b, String old) {
        try {
            Thread.sleep(DOWN_MILLIS);
            b.start();
            store.put("servers", b.id(), b.entry());
            Thread.sleep(3 * HEARTBEAT_MILLIS - DOWN_MILLIS);
            store.remove("servers", old);
        } catch (IOException | InterruptedException e) {
            record.log("%s doesn't come back: %s", b.name(), e);
        }
    }

    private void upload(Fleet.Host h, String id) {
        sent.put(id, record.log("%s is sent to %s", id, h.name));
        try (Sender s = new Sender(h.front(), DEADLINE_MILLIS + 1_000)) {
            s.sendOverLink(Sender.head("POST", PATH, id, DEADLINE_MILLIS, body.length), body, LINK_MBPS);
            Http a = s.answer();
            record.log("answer to %s: %s", id, a == null ? "connection closed" : a.firstLine);
        } catch (IOException | InterruptedException e) {
            record.log("answer to %s: %s", id, e);
        }
    }

    /** Sends other unsafe requests to the same service, each with a path of its own. */
    private void sendOthers(Fleet fleet) {
        List<Thread> all = new ArrayList<>();
        try {
            for (int i = 0; !isEnded; i++) {
                String id = String.format("%016x", 0x100000 + i);
                Fleet.Host h = fleet.hosts.get(i % HOSTS);
                all.add(Thread.startVirtualThread(() -> book(h, id)));
                Thread.sleep(30);
            }
            for (Thread t : all) {
                t.join();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void book(Fleet.Host h, String id) {
        long at = record.millis();
        try (Sender s = new Sender(h.front(), 4_000)) {
            s.send(Sender.head("POST", "/desk/" + id, id, 3_000, 5), "hello".getBytes());
            Http a = s.answer();
            if (a == null || a.status() == 502) {
                record.log("the other request %s is lost: %s", id, a == null ? "connection closed" : a.firstLine);
                if (isLate(at)) {
                    lostOthers.incrementAndGet();
                }
            }
        } catch (IOException e) {
            record.log("the other request %s is lost: %s", id, e);
        }
    }
}
