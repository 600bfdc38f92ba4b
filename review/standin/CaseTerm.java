import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A host gets SIGTERM. Clients that hold an earlier answer of the directory send it requests a little more than 3 s
 * later, as the host still takes them. The rule: such a request, once it has been passed on to a backend, gets its
 * whole answer.
 */
final class CaseTerm {

    private static final int WORK_MILLIS = 2_700;
    private static final int DEADLINE_MILLIS = 8_000;
    private static final int TIMEOUT_MILLIS = 4_000;
    private static final int CALLERS = 10;
    private static final long FIRST_SEND_MILLIS = 3_080;
    private static final long SEND_GAP_MILLIS = 12;
    private static final long GRACE_MILLIS = 6_000;

    private CaseTerm() {}

    public static void main(String[] arguments) {
        Case.main(arguments, Deployment.bounds(2000, 2000, 4000), CaseTerm::run);
    }

    private static boolean run(Record record, Fleet fleet, boolean isTrouble) throws Exception {
        Store store = new Store(fleet.address(1));
        List<Backend> backends = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            backends.add(new Backend(
                    fleet.address(10 + i), "i-archive" + i, "sitearchive", "zone-a", 3, 100, record));
        }
        Backend.registerAll(store, backends);
        new Deployment()
                .service("sitearchive", 220)
                .route("licence-record", "safe", "/licence/", "sitearchive", 1200, TIMEOUT_MILLIS, 2)
                .write(store, 7);
        fleet.start(store, "zone-a", "zone-b", "zone-c");
        Fleet.Host host = fleet.hosts().get(0);
        Thread.sleep(4_000);

        List<Caller> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            Caller c = new Caller("client-" + i, Deployment.HOST_NAME, host.front(), record);
            c.call("GET", "/licence/first", Caller.newId(), new byte[0], DEADLINE_MILLIS);
            callers.add(c);
        }
        backends.forEach(b -> b.setWorkMillis(WORK_MILLIS));
        long start = System.nanoTime();
        if (isTrouble) {
            record.line("SIGTERM to " + host.name());
            fleet.process(host).destroy();
        }
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            int n = i;
            sleepUntil(start, FIRST_SEND_MILLIS + n * SEND_GAP_MILLIS);
            threads.add(Thread.startVirtualThread(() -> {
                String id = Caller.newId();
                long sentAt = (System.nanoTime() - start) / 1_000_000;
                Caller.Result r = callers.get(n).call("GET", "/licence/second", id, new byte[0], DEADLINE_MILLIS);
                boolean hasAnswer = r instanceof Caller.Result.Answered;
                boolean wasPassedOn = record.runs(id) > 0;
                if (hasAnswer && ((Caller.Result.Answered) r).status() == 200) {
                    answered.incrementAndGet();
                } else if (hasAnswer && !wasPassedOn) {
                    refused.incrementAndGet();
                } else if (wasPassedOn) {
                    lost.incrementAndGet();
                    record.line("LOST: " + id + ", sent " + sentAt + " ms after SIGTERM, passed on to a backend, without"
                            + " its answer");
                }
            }));
        }
        for (Thread t : threads) {
            t.join();
        }
        if (isTrouble) {
            record.line("process of " + host.name() + " has ended: " + !fleet.process(host).isAlive() + ", "
                    + (System.nanoTime() - start) / 1_000_000 + " ms after SIGTERM; grace period " + GRACE_MILLIS);
        }
        return Case.result(
                record,
                "requests sent " + CALLERS + ", answered " + answered + ", refused without a run " + refused
                        + ", passed on and cut " + lost,
                "LOST",
                lost.get() > 0);
    }

    private static void sleepUntil(long startNanos, long millis) throws InterruptedException {
        Thread.sleep(Math.max(0, millis - (System.nanoTime() - startNanos) / 1_000_000));
    }
}
