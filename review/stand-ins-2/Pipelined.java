import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients send further safe requests before the first is answered; some backends break off a few large answers. */
final class Pipelined {

    private static final int MAX_LOST = 3;
    private static final int BACKENDS = 6;
    /** A third of the backends is faulty, and breaks off this part of its answers. */
    private static final int FAULTY = 2;

    private static final double BROKEN_SHARE = 0.02;
    private static final int CLIENTS = 24;
    private static final int DEPTH = 4;

    public static void main(String[] args) {
        Case.run(args, (t, r) -> run(t, r));
    }

    private static boolean run(boolean isTrouble, Recorder record) throws Exception {
        int hosts = 3;
        String network = Fleet.freeNetwork(hosts + 2);
        Store store = new Store(network + (hosts + 1));
        store.put("config", "main", new Config(7)
                .cluster("records")
                .route("/records/", "safe", "records", 1_000, 4_000, 2)
                .build());
        Random random = new Random(51);
        int answerBytes = Integer.parseInt(System.getenv().getOrDefault("ANSWER_BYTES", "200000"));
        byte[] content = new byte[answerBytes];
        Map<String, String> ranAt = new ConcurrentHashMap<>();
        Set<String> broken = ConcurrentHashMap.newKeySet();
        AtomicInteger runs = new AtomicInteger();
        long[] from = {Long.MAX_VALUE};
        Backend.Work work = r -> {
            runs.incrementAndGet();
            ranAt.put(r.id(), r.backend().name());
            Thread.sleep(40);
            boolean breaksOff;
            synchronized (random) {
                breaksOff = isTrouble && r.backend().number < FAULTY && random.nextDouble() < BROKEN_SHARE
                        && record.millis() > from[0] && record.millis() < from[0] + 5_500;
            }
            if (breaksOff) {
                broken.add(r.id());
                record.log("backend %s breaks off its answer to %s", r.backend().name(), r.id());
                r.out.write(r.head(200, content.length).getBytes());
                r.out.write(content, 0, content.length * 3 / 4);
                r.out.flush();
                Thread.sleep(5);
                r.socket.close();
                return;
            }
            r.answer(200, content);
        };
        List<Backend> backends = new ArrayList<>();
        for (int i = 0; i < BACKENDS; i++) {
            Backend b = new Backend("records", i, network + (hosts + 1), 3, work, record);
            backends.add(b);
            store.put("servers", b.id(), b.entry());
        }
        AtomicInteger lost = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        try (Fleet fleet = new Fleet(hosts, network, store.address(), "", record)) {
            fleet.start();
            Thread.sleep(5_000);
            long end = record.millis() + 30_000;
            from[0] = record.millis() + 5_000;
            List<Thread> clients = new ArrayList<>();
            for (int c = 0; c < CLIENTS; c++) {
                int client = c;
                clients.add(Thread.startVirtualThread(() -> client(client, fleet, end, ranAt, broken, lost, answered, record)));
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
        record.log("%d runs, %d whole answers, %d answers broken off by their backends", runs.get(), answered.get(), broken.size());
        record.log("%d requests of kept connections ran at sound backends and their connection was closed without an answer"
                + " (allowed: %d)", lost.get(), MAX_LOST);
        return lost.get() > MAX_LOST;
    }

    private static void client(int client, Fleet fleet, long end, Map<String, String> ranAt, Set<String> broken,
            AtomicInteger lost, AtomicInteger answered, Recorder record) {
        int sequence = 0;
        while (record.millis() < end) {
            Fleet.Host h = fleet.hosts.get((client + sequence) % fleet.hosts.size());
            int batchesOnConnection = 0;
            List<String> open = new ArrayList<>();
            try (Sender s = new Sender(h.front(), 6_000)) {
                while (record.millis() < end) {
                    for (int i = 0; i < DEPTH; i++) {
                        String id = String.format("%08x%08x", client + 1, ++sequence);
                        open.add(id);
                        s.out.write(Sender.head("GET", "/records/" + client + '/' + sequence, id, 4_000, -1));
                    }
                    s.out.flush();
                    while (!open.isEmpty()) {
                        Http a = s.answer();
                        if (a == null) {
                            throw new IOException("connection closed");
                        }
                        answered.addAndGet(a.status() == 200 ? 1 : 0);
                        if (a.status() != 200) {
                            record.log("answer to %s: %d", open.get(0), a.status());
                        }
                        open.remove(0);
                    }
                    batchesOnConnection++;
                    Thread.sleep(300);
                }
            } catch (IOException | InterruptedException e) {
                String first = open.isEmpty() ? "none" : open.get(0);
                record.log("connection of client %d to %s ends while it waits for %s: %s", client, h.name, open, e);
                for (String id : open) {
                    String server = ranAt.get(id);
                    boolean isSound = server != null && Integer.parseInt(server.substring(server.indexOf('-') + 1)) >= FAULTY;
                    if (!id.equals(first) && batchesOnConnection > 0 && isSound && !broken.contains(id)) {
                        lost.incrementAndGet();
                        record.log("request %s ran at %s, which is sound, and has no answer", id, server);
                    }
                }
            }
        }
    }
}
