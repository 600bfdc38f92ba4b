import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

/** Backends crash one after the other while many clients ask for one status; then the hosts are replaced in turn. */
final class Convicted {

    private static final int HOSTS = 5;
    private static final int BACKENDS = 14;
    private static final int CRASHES = 5;
    private static final int DOWN_AT_ONCE = 2;
    private static final int CLIENTS = 40;
    private static final long WORK_MILLIS = 200;
    private static final long DOWN_MILLIS = 4_500;
    private static final String POPULAR = "/status/ben-rinnes";

    private final Recorder record;
    private final AtomicInteger[] asked = counters();
    private final AtomicInteger[] served = counters();
    private final AtomicInteger[] popularAt =
            IntStream.range(0, BACKENDS).mapToObj(i -> new AtomicInteger()).toArray(AtomicInteger[]::new);
    private volatile boolean isCounting;
    private volatile boolean isEnded;

    private Convicted(Recorder record) {
        this.record = record;
    }

    private static AtomicInteger[] counters() {
        return new AtomicInteger[] {new AtomicInteger(), new AtomicInteger()};
    }

    public static void main(String[] args) {
        Case.run(args, (t, r) -> new Convicted(r).run(t));
    }

    private boolean run(boolean isTrouble) throws Exception {
        String network = Fleet.freeNetwork(HOSTS + 2);
        Store store = new Store(network + (HOSTS + 1));
        store.put("config", "main", new Config(7)
                .cluster("masts")
                .route("/status/", "safe", "masts", 600, 2_500, 2)
                .route("/history/", "safe", "masts", 600, 2_500, 2)
                .build());
        Backend.Work work = r -> {
            boolean isPopular = r.request.target().equals(POPULAR);
            AtomicInteger running = popularAt[r.backend().number];
            running.addAndGet(isPopular ? 1 : 0);
            try {
                Thread.sleep(WORK_MILLIS);
            } finally {
                running.addAndGet(isPopular ? -1 : 0);
            }
            r.answer(200, new byte[400]);
        };
        List<Backend> backends = new ArrayList<>();
        for (int i = 0; i < BACKENDS; i++) {
            Backend b = new Backend("masts", i, network + (HOSTS + 1), 3, work, record);
            backends.add(b);
            store.put("servers", b.id(), b.entry());
        }
        try (Fleet fleet = new Fleet(HOSTS, network, store.address(), "", record)) {
            fleet.start();
            Thread.sleep(5_000);
            List<Thread> clients = new ArrayList<>();
            for (int c = 0; c < CLIENTS; c++) {
                int client = c;
                clients.add(Thread.startVirtualThread(() -> client(client, fleet)));
            }
            Thread.sleep(3_000);
            for (int i = 0; i < CRASHES; i++) {
                if (isTrouble) {
                    crash(backends.subList(i * DOWN_AT_ONCE, (i + 1) * DOWN_AT_ONCE), store);
                }
                Thread.sleep(6_000);
            }
            for (Fleet.Host h : fleet.hosts) {
                if (isTrouble) {
                    h.signal("TERM");
                    h.process.waitFor();
                    h.start();
                    h.awaitReady();
                }
                Thread.sleep(1_300);
            }
            Thread.sleep(6_000);
            isCounting = true;
            Thread.sleep(15_000);
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
        record.log("%s: %d asked, %d served", POPULAR, asked[0].get(), served[0].get());
        record.log("other paths: %d asked, %d served", asked[1].get(), served[1].get());
        double share = served[0].doubleValue() / asked[0].get();
        double all = (served[0].doubleValue() + served[1].get()) / (asked[0].get() + asked[1].get());
        record.log("the status is served %.2f times as often as all requests (at least 0.25)", share / all);
        return share < 0.25 * all;
    }

    /** Crashes backends while each of them runs at least one of the popular requests. */
    private void crash(List<Backend> crashed, Store store) throws IOException, InterruptedException {
        while (crashed.stream().anyMatch(b -> popularAt[b.number].get() == 0)) {
            Thread.sleep(1);
        }
        for (Backend b : crashed) {
            record.log("backend %s crashes", b.name());
            String old = b.id();
            b.crash();
            Thread.startVirtualThread(() -> comeBack(b, old, store));
        }
    }

    private void comeBack(Backend b, String old, Store store) {
        try {
            Thread.sleep(DOWN_MILLIS);
            store.remove("servers", old);
            b.start();
            store.put("servers", b.id(), b.entry());
        } catch (IOException | InterruptedException e) {
            record.log("%s doesn't come back: %s", b.name(), e);
        }
    }

    private void client(int client, Fleet fleet) {
        Random random = new Random(client);
        for (int i = 0; !isEnded; i++) {
            int kind = random.nextInt(5) == 0 ? 0 : 1;
            String path = kind == 0 ? POPULAR : "/history/" + client + '/' + i;
            String id = String.format("%08x%08x", client + 1, i);
            Fleet.Host h = fleet.hosts.get(random.nextInt(HOSTS));
            boolean isCounted = isCounting;
            if (isCounted) {
                asked[kind].incrementAndGet();
            }
            try (Sender s = new Sender(h.front(), 4_000)) {
                s.send(Sender.head("GET", path, id, 2_500, -1), new byte[0]);
                Http a = s.answer();
                boolean isServed = a != null && a.status() == 200;
                if (isCounted && isServed) {
                    served[kind].incrementAndGet();
                }
                if (!isServed) {
                    record.log("%s %s at %s: %s", id, path, h.name, a == null ? "closed" : a.firstLine);
                }
            } catch (IOException e) {
                record.log("%s %s at %s: %s", id, path, h.name, e);
            }
            try {
                Thread.sleep(100);
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
