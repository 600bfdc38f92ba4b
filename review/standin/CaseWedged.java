import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients upload more than the backends can take for some seconds (burst). Afterwards each client sends one quick
 * request on the connection that it kept. The rule: of the requests that are unanswered at their route's timeout, not
 * more than half, and not eight or more and over a quarter, may be unanswered half a second later.
 */
final class CaseWedged {

    private static final int UPLOAD_BYTES = 90_000;
    private static final int UPLOAD_DEADLINE_MILLIS = 6_000;
    private static final int LOOKUP_TIMEOUT_MILLIS = 1_500;
    private static final int LOOKUP_DEADLINE_MILLIS = 3_000;
    private static final int SLACK_MILLIS = 500;
    private static final int CALLERS = 60;
    /** Uploads a second without and with the burst: 2.5 times as many for 6.6 s. */
    private static final double USUAL_PER_SECOND = 16;

    private static final double BURST = 2.5;
    private static final long BURST_MILLIS = 6_600;
    /** Time after the burst; the rules excuse a machine up to 5 s after clients have pressed beyond the usual. */
    private static final long CALM_MILLIS = 5_200;

    private CaseWedged() {}

    public static void main(String[] arguments) {
        Case.main(arguments, Deployment.bounds(2500, 2500, 5000), CaseWedged::run);
    }

    private static boolean run(Record record, Fleet fleet, boolean isTrouble) throws Exception {
        Store store = new Store(fleet.address(1));
        List<Backend> backends = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            if (i < 2) {
                backends.add(new Backend(fleet.address(10 + i), "i-depot" + i, "depot", "zone-a", 2, 175, record));
            }
            backends.add(new Backend(fleet.address(20 + i), "i-statut" + i, "statut", "zone-a", 2, 20, record));
        }
        Backend.registerAll(store, backends);
        new Deployment()
                .service("depot", 1080)
                .service("statut", 1080)
                .route("journal-upload", "upload", "/journal/", "depot", 1500, 3000, 2)
                .route("session-lookup", "safe", "/session/", "statut", 500, LOOKUP_TIMEOUT_MILLIS, 2)
                .write(store, 7);
        fleet.start(store, "zone-a", "zone-a");
        Thread.sleep(1_000);

        double perSecond = isTrouble ? USUAL_PER_SECOND * BURST : USUAL_PER_SECOND;
        record.line("uploads: " + perSecond + " a second for " + BURST_MILLIS + " ms"
                + (isTrouble ? " (burst, " + BURST + " times the usual)" : ""));
        List<Caller> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            callers.add(new Caller(
                    "client-" + i, Deployment.HOST_NAME, fleet.hosts().get(i % 2).front(), record));
        }
        int uploads = (int) (perSecond * BURST_MILLIS / 1_000);
        AtomicInteger refused = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        BlockingQueue<Integer> idle = new LinkedBlockingQueue<>();
        for (int i = 0; i < CALLERS; i++) {
            idle.add(i);
        }
        for (int n = 0; n < uploads; n++) {
            Thread.sleep((long) (1_000 / perSecond));
            Integer free = idle.poll();
            if (free == null) {
                continue;
            }
            threads.add(Thread.startVirtualThread(() -> {
                Caller.Result r = callers.get(free)
                        .call("POST", "/journal/a", Caller.newId(), new byte[UPLOAD_BYTES], UPLOAD_DEADLINE_MILLIS);
                if (r instanceof Caller.Result.Answered a && a.status() == 200) {
                    idle.add(free);
                } else {
                    // The client keeps the connection, and leaves the upload alone until its Retry-After has passed.
                    refused.incrementAndGet();
                }
            }));
        }
        for (Thread t : threads) {
            t.join();
        }
        Thread.sleep(CALM_MILLIS);
        record.line("uploads that were not served: " + refused + "; all clients now look up a session on the connection"
                + " that they kept");
        AtomicInteger atTimeout = new AtomicInteger();
        AtomicInteger later = new AtomicInteger();
        AtomicInteger sent = new AtomicInteger();
        threads.clear();
        for (int i = 0; i < CALLERS; i++) {
            Caller c = callers.get(i);
            Thread.sleep(10);
            threads.add(Thread.startVirtualThread(() -> {
                sent.incrementAndGet();
                Caller.Result r = c.call("GET", "/session/a", Caller.newId(), new byte[0], LOOKUP_DEADLINE_MILLIS);
                long millis = r instanceof Caller.Result.Answered a ? a.millis() : Long.MAX_VALUE;
                if (millis > LOOKUP_TIMEOUT_MILLIS) {
                    atTimeout.incrementAndGet();
                }
                if (millis > LOOKUP_TIMEOUT_MILLIS + SLACK_MILLIS) {
                    later.incrementAndGet();
                }
            }));
        }
        for (Thread t : threads) {
            t.join();
        }
        boolean isBroken = later.get() >= 8 && later.get() * 2 > atTimeout.get();
        return Case.result(
                record,
                "session look-ups sent " + sent + ", unanswered at the route's timeout " + atTimeout
                        + ", unanswered half a second later " + later,
                "CONFIG",
                isBroken);
    }
}
