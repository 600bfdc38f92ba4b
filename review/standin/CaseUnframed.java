import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of two backends spoils one answer in 20: it answers an upload before it has read it, without a length, and is
 * reset in the middle of the answer. The rule: no client gets a success whose body isn't the backend's whole body.
 */
final class CaseUnframed {

    private static final int UPLOAD_BYTES = 4_000_000;
    private static final int DEADLINE_MILLIS = 12_000;
    private static final int UPLOADS = 80;
    private static final long GAP_MILLIS = 60;
    private static final int RECEIVE_BYTES = 16_384;
    /** Of so many answers of the faulty backend the last one is spoiled. */
    private static final int ANSWERS_PER_FAULT = 20;

    private static final long PAUSE_MILLIS = 200;
    private static final byte[] FIRST_HALF = Http.bytes("first half of the result;");
    private static final byte[] SECOND_HALF = Http.bytes("second half of the result.");

    private CaseUnframed() {}

    public static void main(String[] arguments) {
        Case.main(arguments, Deployment.bounds(2500, 2500, 5000), CaseUnframed::run);
    }

    private static boolean run(Record record, Fleet fleet, boolean isTrouble) throws Exception {
        Store store = new Store(fleet.address(1));
        List<Backend> backends = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            backends.add(new Backend(
                    fleet.address(10 + i), "i-archive" + i, "archive-ingest", "zone-a", 6, 20, record, RECEIVE_BYTES));
        }
        AtomicInteger answers = new AtomicInteger();
        AtomicInteger faults = new AtomicInteger();
        backends.get(0).setBehaviour(c -> {
            if (answers.incrementAndGet() % ANSWERS_PER_FAULT != 0) {
                return false;
            }
            faults.incrementAndGet();
            answerEarly(c, record, isTrouble);
            return true;
        });
        Backend.registerAll(store, backends);
        new Deployment()
                .service("archive-ingest", 900)
                .route("upload", "upload", "/upload/", "archive-ingest", 4000, 6000, 2)
                .write(store, 7);
        fleet.start(store, "zone-a", "zone-b", "zone-c");
        Thread.sleep(1_000);
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger partial = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < UPLOADS; i++) {
            int n = i;
            Thread.sleep(GAP_MILLIS);
            threads.add(Thread.startVirtualThread(() -> upload(n, record, fleet, whole, partial)));
        }
        for (Thread t : threads) {
            t.join();
        }
        return Case.result(
                record,
                "uploads sent " + UPLOADS + ", answers of the faulty backend " + answers + ", of them early and without a"
                        + " length " + faults + "; whole successes " + whole + ", successes with half of the body " + partial,
                "MIXED",
                partial.get() > 0);
    }

    private static void upload(int n, Record record, Fleet fleet, AtomicInteger whole, AtomicInteger partial) {
        try (Caller c =
                new Caller("client-" + n, Deployment.HOST_NAME, fleet.hosts().get(n % 3).front(), record)) {
            String id = Caller.newId();
            Caller.Result r = c.call("POST", "/upload/a", id, new byte[UPLOAD_BYTES], DEADLINE_MILLIS);
            if (r instanceof Caller.Result.Answered a && a.status() / 100 == 2) {
                String body = new String(a.body(), StandardCharsets.ISO_8859_1);
                boolean isWhole = body.equals("result of " + id)
                        || a.body().length == FIRST_HALF.length + SECOND_HALF.length;
                (isWhole ? whole : partial).incrementAndGet();
                if (!isWhole) {
                    record.line("client-" + n + " got a complete success with the body: " + body);
                }
            }
        } catch (IOException e) {
            record.line("client-" + n + " can't connect: " + e);
        }
    }

    /** Answers before the body is read. Ends the answer by closing the connection, or is reset in its middle. */
    private static void answerEarly(Backend.Call c, Record record, boolean isReset)
            throws IOException, InterruptedException {
        record.line("backend " + c.backend().id() + " begins to answer " + c.id() + " before it has read its body");
        record.run(c.id());
        c.out().write(Http.bytes("HTTP/1.1 200 OK\r\nHyssophitch-Request-Id: " + c.id()
                + "\r\nHyssophitch-Response-Signature: " + Backend.signature(c.id()) + "\r\n" + c.backend().load()
                + "\r\n"));
        c.out().write(FIRST_HALF);
        c.out().flush();
        Thread.sleep(PAUSE_MILLIS);
        if (isReset) {
            record.line("backend " + c.backend().id() + " is reset in the middle of its answer to " + c.id());
            c.socket().setSoLinger(true, 0);
            c.socket().close();
            return;
        }
        c.out().write(SECOND_HALF);
        c.out().flush();
        Http.readRequestBody(c.in(), c.head());
        c.socket().close();
    }
}
