import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A configuration moves a route to another service and drops the old one while bodies are being received. */
final class MovedRoute {

    private static final int HOSTS = 3;

    public static void main(String[] args) {
        Case.run(args, (t, r) -> run(t, r));
    }

    private static boolean run(boolean isTrouble, Recorder record) throws Exception {
        String network = Fleet.freeNetwork(HOSTS + 2);
        Store store = new Store(network + (HOSTS + 1));
        store.put("config", "main", new Config(7)
                .cluster("old-desk")
                .cluster("new-desk")
                .route("/booking/", "unsafe", "old-desk", 2_000, 8_000, 1)
                .build());
        Backend.Work work = r -> {
            Thread.sleep(50);
            r.answer(200, new byte[400]);
        };
        List<Backend> backends = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            Backend b = new Backend(i < 4 ? "old-desk" : "new-desk", i, network + (HOSTS + 1), 3, work, record);
            backends.add(b);
            store.put("servers", b.id(), b.entry());
        }
        AtomicInteger all = new AtomicInteger();
        AtomicInteger denied = new AtomicInteger();
        try (Fleet fleet = new Fleet(HOSTS, network, store.address(), "", record)) {
            fleet.start();
            Thread.sleep(5_000);
            List<Thread> clients = new ArrayList<>();
            long end = record.millis() + 20_000;
            int sent = 0;
            boolean isChanged = false;
            while (record.millis() < end) {
                if (!isChanged && isTrouble && record.millis() > end - 10_000) {
                    store.put("config", "main", new Config(12)
                            .cluster("new-desk")
                            .route("/booking/", "unsafe", "new-desk", 2_000, 8_000, 1)
                            .build());
                    record.log("version r12 is acknowledged: the route leads to new-desk, old-desk is dropped");
                    isChanged = true;
                }
                String id = String.format("%016x", 0x3000 + sent++);
                Fleet.Host h = fleet.hosts.get(sent % HOSTS);
                all.incrementAndGet();
                clients.add(Thread.startVirtualThread(() -> book(h, id, denied, record)));
                Thread.sleep(50);
            }
            for (Thread t : clients) {
                t.join();
            }
        } finally {
            for (Backend b : backends) {
                b.close();
            }
            store.close();
        }
        double allowed = 5 + all.get() / 500.0;
        record.log("%d requests, %d ended with a 4xx of the host's own (allowed: %.1f)", all.get(), denied.get(), allowed);
        return denied.get() > allowed;
    }

    /** Sends a booking of 6 KB over a slow line, and reads its answer. */
    private static void book(Fleet.Host h, String id, AtomicInteger denied, Recorder record) {
        byte[] body = new byte[6_000];
        try (Sender s = new Sender(h.front(), 10_000)) {
            s.out.write(Sender.head("POST", "/booking/" + id, id, 8_000, body.length));
            for (int at = 0; at < body.length; at += 1_000) {
                Thread.sleep(120);
                s.out.write(body, at, 1_000);
            }
            Http a = s.answer();
            if (a == null || a.status() != 200) {
                record.log("answer to %s: %s", id, a == null ? "connection closed" : a.firstLine);
            }
            if (a != null && a.status() / 100 == 4 && a.header("Hyssophitch-Response-Signature").isEmpty()) {
                denied.incrementAndGet();
            }
        } catch (IOException | InterruptedException e) {
            record.log("answer to %s: %s", id, e);
        }
    }
}
