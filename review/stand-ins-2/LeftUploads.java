import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** More uploads come than the backends can take at once, and some of the clients leave before their deadline. */
final class LeftUploads {

    private static final int HOSTS = 3;
    private static final int BACKENDS = 4;
    private static final int SLOTS = 3;
    private static final long WORK_MILLIS = 400;
    private static final double PER_SECOND = 24;
    private static final double BURST = 1.7;
    private static final long BURST_MILLIS = 3_000;
    private static final double LEAVING_SHARE = 0.2;
    private static final long LEAVING_MILLIS = 5_500;
    private static final int OBJECTIVE_MILLIS = 4_000;
    private static final int DEADLINE_MILLIS = 10_000;
    private static final long[] TROUBLES = {5_000, 15_000};
    private static final long LENGTH_MILLIS = 25_000;

    private static final long LATE_MILLIS = 500;
    /** The rule says "a few". */
    private static final int FEW = 5;

    private final Recorder record;
    private final byte[] body = new byte[Integer.parseInt(System.getenv().getOrDefault("BODY_BYTES", "100000"))];
    private final Map<String, Long> left = new ConcurrentHashMap<>();
    private final AtomicInteger runs = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();

    private LeftUploads(Recorder record) {
        this.record = record;
        new Random(3).nextBytes(body);
    }

    public static void main(String[] args) {
        Case.run(args, (t, r) -> new LeftUploads(r).run(t));
    }

    private boolean run(boolean isTrouble) throws Exception {
        String network = Fleet.freeNetwork(HOSTS + 2);
        Store store = new Store(network + (HOSTS + 1));
        store.put("config", "main", new Config(7)
                .cluster("ingest")
                .route("/upload/", "upload", "ingest", OBJECTIVE_MILLIS, DEADLINE_MILLIS, 1)
                .build());
        List<Backend> backends = new ArrayList<>();
        for (int i = 0; i < BACKENDS; i++) {
            Backend b = new Backend("ingest", i, network + (HOSTS + 1), SLOTS, this::work, record);
            backends.add(b);
            store.put("servers", b.id(), b.entry());
        }
        try (Fleet fleet = new Fleet(HOSTS, network, store.address(), "", record)) {
            fleet.start();
            Thread.sleep(5_000);
            send(isTrouble, fleet);
            Thread.sleep(3_000);
        } finally {
            for (Backend b : backends) {
                b.close();
            }
            store.close();
        }
        record.log("%d uploads ran; %d clients left", runs.get(), left.size());
        record.log("%d uploads ran later than %d ms after the close of their client had reached the host (allowed: %d)",
                late.get(), LATE_MILLIS, FEW);
        return late.get() > FEW;
    }

    private void work(Backend.Run r) throws IOException, InterruptedException {
        long now = record.millis();
        runs.incrementAndGet();
        Long leftAt = left.get(r.id());
        if (leftAt != null && now > leftAt + LATE_MILLIS) {
            late.incrementAndGet();
            record.log("%s runs at %s with all of its %d bytes, %d ms after its client has left",
                    r.id(), r.backend().name(), r.request.body.length, now - leftAt);
        } else {
            record.log("%s runs at %s", r.id(), r.backend().name());
        }
        Thread.sleep(WORK_MILLIS);
        r.answer(200, new byte[1_500]);
    }

    private void send(boolean isTrouble, Fleet fleet) throws InterruptedException {
        Random random = new Random(51);
        List<Thread> clients = new ArrayList<>();
        long start = record.millis();
        int sent = 0;
        while (record.millis() < start + LENGTH_MILLIS) {
            long since = record.millis() - start;
            boolean isBurst = isTrouble && isWithin(since, BURST_MILLIS);
            boolean leaves = isTrouble && isWithin(since, LEAVING_MILLIS) && random.nextDouble() < LEAVING_SHARE;
            long leaveAfter = leaves ? 200 + random.nextInt(OBJECTIVE_MILLIS / 2 - 200) : 0;
            String id = String.format("%016x", 0x2000 + sent++);
            Fleet.Host h = fleet.hosts.get(random.nextInt(HOSTS));
            clients.add(Thread.startVirtualThread(() -> upload(h, id, leaveAfter)));
            Thread.sleep((long) (1_000 / (PER_SECOND * (isBurst ? BURST : 1))));
        }
        for (Thread t : clients) {
            t.join();
        }
        record.log("%d uploads sent", sent);
    }

    private static boolean isWithin(long since, long length) {
        for (long t : TROUBLES) {
            if (since > t && since < t + length) {
                return true;
            }
        }
        return false;
    }

    /** Sends an upload. One that leaves closes its connection, which returns when the host has confirmed the end. */
    private void upload(Fleet.Host h, String id, long leaveAfter) {
        try (Sender s = new Sender(h.front(), DEADLINE_MILLIS)) {
            record.log("%s is sent to %s", id, h.name);
            s.send(Sender.head("POST", "/upload/" + id, id, DEADLINE_MILLIS, body.length), body);
            if (leaveAfter > 0) {
                Thread.sleep(leaveAfter);
                s.socket.setSoLinger(true, 5);
                s.socket.close();
                left.put(id, record.log("the client of %s leaves %s after %d ms", id, h.name, leaveAfter));
                return;
            }
            Http a = s.answer();
            record.log("answer to %s: %s", id, a == null ? "connection closed" : a.firstLine);
        } catch (IOException | InterruptedException e) {
            record.log("answer to %s: %s", id, e);
        }
    }
}
