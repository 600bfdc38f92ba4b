import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A search with a long query crashes backends and comes again; later one tenant sends many times its usual. */
final class SplitFleet {

    private static final int HOSTS = 5;
    private static final int BACKENDS = 8;
    private static final long PAUSE_MILLIS = 2_500;
    private static final long DOWN_MILLIS = 3_000;
    private static final long HEARTBEAT_MILLIS = 1_500;
    private static final int REPETITIONS = 15;
    private static final long CALM_MILLIS = 8_000;
    private static final long HOT_MILLIS = 6_500;
    private static final long USUAL_MILLIS = 6_000;
    private static final double HOT = 7.5;
    private static final double USUAL_PER_SECOND = 20;
    private static final String PATH = "/search/?words="
            + "transmitter+".repeat(Integer.parseInt(System.getenv().getOrDefault("QUERY_BYTES", "2400")) / 12);

    private static final String TENANT = "council";
    private static final String KEY = "key-7c1";
    private static final long REQUESTS_PER_SECOND = 40;
    private static final long BURST_SIZE = 70;
    private static final long WINDOW_MILLIS = 5_000;
    private static final long STABILITY_WINDOW_MILLIS = 3_000;
    private static final double OVERAGE = 0.1;
    private static final double SLACK = 20;

    private record Run(long sentMillis, long arrivedMillis) {}

    private final Recorder record;
    private final Map<String, Long> sent = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<Run> runs = new ConcurrentLinkedQueue<>();
    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private final AtomicInteger crashes = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicLong sequence = new AtomicLong();
    private volatile long thirdCrash = Long.MAX_VALUE / 2;
    private Store store;

    private SplitFleet(Recorder record) {
        this.record = record;
    }

    public static void main(String[] args) {
        Case.run(args, (t, r) -> new SplitFleet(r).run(t));
    }

    private boolean run(boolean isTrouble) throws Exception {
        String network = Fleet.freeNetwork(HOSTS + 2);
        store = new Store(network + (HOSTS + 1));
        store.put("config", "main", config());
        List<Backend> backends = new ArrayList<>();
        for (int i = 0; i < BACKENDS; i++) {
            Backend b = new Backend("search", i, network + (HOSTS + 1), 6, r -> work(r, isTrouble), record);
            backends.add(b);
            store.put("servers", b.id(), b.entry());
        }
        String bounds = ",\"quota_window_s\":5,\"quota_overage\":0.1,\"quota_slack\":20";
        try (Fleet fleet = new Fleet(HOSTS, network, store.address(), bounds, record)) {
            fleet.start();
            Thread.sleep(8_000);
            sendTenant(fleet, USUAL_PER_SECOND, USUAL_MILLIS);
            for (int i = 0; i < REPETITIONS; i++) {
                search(fleet.hosts.get(i % HOSTS));
                Thread.sleep(PAUSE_MILLIS);
            }
            Thread.sleep(CALM_MILLIS);
            for (Fleet.Host h : fleet.hosts) {
                record.log("directory of %s: %s", h.name, h.directory());
            }
            record.log("the tenant sends %.1f times its usual", HOT);
            sendTenant(fleet, USUAL_PER_SECOND * HOT, HOT_MILLIS);
            Thread.sleep(1_000);
        } finally {
            for (Backend b : backends) {
                b.close();
            }
            store.close();
        }
        return judge();
    }

    private static Map<String, Object> config() {
        Map<String, Object> config = new Config(7)
                .cluster("search")
                .route("/search/", "safe", "search", 1_000, 4_000, 1)
                .build();
        Map<String, Object> tenant = new LinkedHashMap<>();
        tenant.put("name", TENANT);
        tenant.put("api_keys", List.of(KEY));
        tenant.put("requests_per_s", REQUESTS_PER_SECOND);
        tenant.put("burst_size", BURST_SIZE);
        Map<String, Object> other = new LinkedHashMap<>();
        other.put("name", "trust");
        other.put("api_keys", List.of("key-202"));
        config.put("tenants", List.of(tenant, other));
        return config;
    }

    private void work(Backend.Run r, boolean isTrouble) throws IOException, InterruptedException {
        boolean isDeadly = r.request.target().equals(PATH);
        if (isDeadly && isTrouble) {
            crashes.incrementAndGet();
            long now = record.log("%s runs at %s, which crashes", r.id(), r.backend().name());
            if (crashes.get() == 3) {
                thirdCrash = now;
            }
            late.addAndGet(now > thirdCrash + STABILITY_WINDOW_MILLIS ? 1 : 0);
            String old = r.backend().id();
            r.backend().crash();
            Thread.startVirtualThread(() -> comeBack(r.backend(), old));
            return;
        }
        if (r.request.header("Hyssophitch-Tenant").equals(TENANT) && ran.add(r.id())) {
            long sentMillis = sent.get(r.id());
            runs.add(new Run(sentMillis, record.log("%s, sent at %d, runs at %s", r.id(), sentMillis, r.backend().name())));
        }
        Thread.sleep(10);
        r.answer(200, new byte[100]);
    }

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

    private void search(Fleet.Host h) {
        String id = String.format("%016x", 0x1000 + sequence.incrementAndGet());
        record.log("%s, the search, is sent to %s", id, h.name);
        try (Sender s = new Sender(h.front(), 5_000)) {
            s.send(Sender.head("GET", PATH, id, 4_000, -1, "Api-Key: key-202"), new byte[0]);
            Http a = s.answer();
            record.log("answer to %s: %s", id, a == null ? "connection closed" : a.firstLine);
        } catch (IOException e) {
            record.log("answer to %s: %s", id, e);
        }
    }

    private void sendTenant(Fleet fleet, double perSecond, long millis) throws InterruptedException {
        long end = record.millis() + millis;
        for (int i = 0; record.millis() < end; i++) {
            Fleet.Host h = fleet.hosts.get(i % HOSTS);
            Thread.startVirtualThread(() -> sendOne(h));
            Thread.sleep((long) (1_000 / perSecond));
        }
    }

    private void sendOne(Fleet.Host h) {
        String id = String.format("%016x", 0x100000 + sequence.incrementAndGet());
        try (Sender s = new Sender(h.front(), 5_000)) {
            sent.put(id, record.millis());
            s.send(Sender.head("GET", "/search/" + id, id, 4_000, -1, "Api-Key: " + KEY), new byte[0]);
            Http a = s.answer();
            record.log("answer to %s at %s: %s", id, h.name, a == null ? "connection closed" : a.firstLine);
        } catch (IOException e) {
            record.log("answer to %s at %s: %s", id, h.name, e);
        }
    }

    private boolean judge() {
        List<Run> all = List.copyOf(runs);
        long most = 0;
        long from = 0;
        for (Run first : all) {
            long n = all.stream()
                    .filter(r -> r.sentMillis >= first.sentMillis && r.arrivedMillis <= first.sentMillis + WINDOW_MILLIS)
                    .count();
            if (n > most) {
                most = n;
                from = first.sentMillis;
            }
        }
        double allowed = (REQUESTS_PER_SECOND * WINDOW_MILLIS / 1_000.0 + BURST_SIZE) * (1 + OVERAGE) + SLACK;
        record.log("%d crashes; %d requests of the tenant ran", crashes.get(), all.size());
        record.log("BUDGET, beside: the search reached a backend %d times later than %d ms after its third crash (allowed: 3)",
                late.get(), STABILITY_WINDOW_MILLIS);
        record.log("%d requests of the tenant were sent and ran in the %d ms from %d on (allowed: %.0f)",
                most, WINDOW_MILLIS, from, allowed);
        return most > allowed;
    }
}
