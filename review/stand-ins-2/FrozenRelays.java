import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Two hosts freeze, those through which the others watch the store; then a backend drains and a route moves. */
final class FrozenRelays {

    private static final int HOSTS = 17;
    private static final int BACKENDS = 16;
    private static final int RELAY_PORT = 17_200;
    private static final int NO_RELAY_STATUS = 421;
    private static final long FREEZE_MILLIS = 4_000;
    private static final long CHANGE_MILLIS = 200;
    private static final int ROUNDS = 4;
    private static final long DRAIN_PERIOD_MILLIS = 2_000;
    private static final long CONFIG_APPLY_MILLIS = 2_000;

    private record Sent(String host, long millis) {}

    private final Recorder record;
    private final Map<String, Sent> sent = new ConcurrentHashMap<>();
    private final AtomicLong sequence = new AtomicLong();
    private final AtomicInteger lateAtDrained = new AtomicInteger();
    private final AtomicInteger lateAtOldService = new AtomicInteger();
    private final Set<String> lateHosts = new TreeSet<>();
    private final Map<String, Long> drainedMillis = new ConcurrentHashMap<>();
    private volatile Set<String> frozen = Set.of();
    private volatile String oldService = "";
    private volatile long configMillis;
    private volatile boolean isEnded;

    private FrozenRelays(Recorder record) {
        this.record = record;
    }

    public static void main(String[] args) {
        Case.run(args, (t, r) -> new FrozenRelays(r).run(t));
    }

    private boolean run(boolean isTrouble) throws Exception {
        String network = Fleet.freeNetwork(HOSTS + 2);
        Store store = new Store(network + (HOSTS + 1));
        store.put("config", "main", config(7, "desk-0"));
        List<Backend> parts = new ArrayList<>();
        List<Backend> all = new ArrayList<>();
        for (int i = 0; i < BACKENDS; i++) {
            String service = i < 10 ? "parts" : "desk-" + i % 2;
            Backend b = new Backend(service, i, network + (HOSTS + 1), 6, this::work, record);
            all.add(b);
            if (i < 10) {
                parts.add(b);
            }
            store.put("servers", b.id(), b.entry());
        }
        try (Fleet fleet = new Fleet(HOSTS, network, store.address(), "", record)) {
            fleet.start();
            Thread.sleep(12_000);
            List<Thread> clients = new ArrayList<>();
            for (Fleet.Host h : fleet.hosts) {
                clients.add(Thread.startVirtualThread(() -> client(h)));
            }
            for (int round = 0; round < ROUNDS; round++) {
                Thread.sleep(7_000);
                List<Fleet.Host> relays = relays(fleet);
                record.log("relays: %s", relays.stream().map(h -> h.name).toList());
                if (isTrouble) {
                    frozen = Set.copyOf(relays.stream().map(h -> h.name).toList());
                    for (Fleet.Host h : relays) {
                        h.signal("STOP");
                    }
                }
                Thread.sleep(CHANGE_MILLIS);
                change(round, parts.get(round), store);
                Thread.sleep(FREEZE_MILLIS - CHANGE_MILLIS);
                for (Fleet.Host h : relays) {
                    h.signal("CONT");
                }
            }
            Thread.sleep(2_000);
            isEnded = true;
            for (Thread t : clients) {
                t.join();
            }
        } finally {
            for (Backend b : all) {
                b.close();
            }
            store.close();
        }
        record.log("%d hosts that were not frozen were late: %s", lateHosts.size(), lateHosts);
        record.log("DRAIN: %d requests that they took reached a draining backend over %d ms after the acknowledgement ",
                lateAtDrained.get(), DRAIN_PERIOD_MILLIS);
        record.log("CONFIG: %d requests were sent to them over %d ms after the new version was acknowledged and ran at the old service (allowed: 0)",
                lateAtOldService.get(), CONFIG_APPLY_MILLIS);
        return lateAtOldService.get() > 0;
    }

    private static Map<String, Object> config(int version, String service) {
        return new Config(version)
                .cluster("parts").cluster("desk-0").cluster("desk-1")
                .route("/parts/", "safe", "parts", 500, 2_000, 1)
                .route("/desk/", "unsafe", service, 500, 2_000, 1)
                .build();
    }

    /** A backend reports that it drains, and a new version moves a route; the store acknowledges both at once. */
    private void change(int round, Backend drained, Store store) {
        Map<String, Object> entry = new LinkedHashMap<>(drained.entry());
        Json.object(entry.get("status")).put("state", "draining");
        store.put("servers", drained.id(), entry);
        drainedMillis.put(drained.name(), record.log("acknowledged: %s drains", drained.name()));
        oldService = "desk-" + round % 2;
        store.put("config", "main", config(12 + round, "desk-" + (round + 1) % 2));
        configMillis = record.log("acknowledged: version r%d, whose route leaves %s", 12 + round, oldService);
    }

    /** Returns the hosts that answer reads of the store for others. */
    private static List<Fleet.Host> relays(Fleet fleet) throws IOException {
        List<Fleet.Host> found = new ArrayList<>();
        for (Fleet.Host h : fleet.hosts) {
            HttpURLConnection c = (HttpURLConnection)
                    URI.create("http://" + h.ip + ':' + RELAY_PORT + "/objects/servers").toURL().openConnection();
            if (c.getResponseCode() != NO_RELAY_STATUS) {
                found.add(h);
            }
        }
        return found;
    }

    private void work(Backend.Run r) throws IOException, InterruptedException {
        long now = record.millis();
        Sent s = sent.get(r.id());
        boolean isInTouch = !frozen.contains(s.host);
        Long drained = drainedMillis.get(r.backend().name());
        if (isInTouch && drained != null && now > drained + DRAIN_PERIOD_MILLIS) {
            lateAtDrained.incrementAndGet();
            addLate(s.host);
            record.log("%s, taken by %s, reaches %s, %d ms after it was acknowledged as draining",
                    r.id(), s.host, r.backend().name(), now - drained);
        }
        if (isInTouch && r.backend().service.equals(oldService) && s.millis > configMillis + CONFIG_APPLY_MILLIS) {
            lateAtOldService.incrementAndGet();
            addLate(s.host);
            record.log("%s, sent to %s %d ms after the new version was acknowledged, runs at %s",
                    r.id(), s.host, s.millis - configMillis, r.backend().service);
        }
        Thread.sleep(10);
        r.answer(200, new byte[100]);
    }

    private synchronized void addLate(String host) {
        lateHosts.add(host);
    }

    private void client(Fleet.Host h) {
        for (int i = 0; !isEnded; i++) {
            String id = String.format("%016x", sequence.incrementAndGet());
            boolean isRead = i % 2 == 0;
            try (Sender s = new Sender(h.front(), 2_500)) {
                sent.put(id, new Sent(h.name, record.millis()));
                s.send(Sender.head(isRead ? "GET" : "POST", (isRead ? "/parts/" : "/desk/") + id, id, 2_000, isRead ? -1 : 5),
                        isRead ? new byte[0] : "hello".getBytes());
                Http a = s.answer();
                if (a == null || a.status() != 200) {
                    record.log("answer to %s at %s: %s", id, h.name, a == null ? "connection closed" : a.firstLine);
                }
            } catch (IOException e) {
                record.log("answer to %s at %s: %s", id, h.name, e);
            }
            try {
                Thread.sleep(40);
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
