import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A backend answers uploads before it has read them, without a length, and is reset in the middle of the answer. The
 * rule: no client gets a success whose body isn't the backend's whole body.
 */
final class CaseUnframed {

    private static final int UPLOAD_BYTES = 4_000_000;
    private static final int DEADLINE_MILLIS = 12_000;
    private static final int UPLOADS = 10;
    private static final int RECEIVE_BYTES = 16_384;
    private static final byte[] FIRST_HALF = Http.bytes("first half of the result;");
    private static final byte[] SECOND_HALF = Http.bytes("second half of the result.");

    private CaseUnframed() {}

    public static void main(String[] arguments) {
        Case.main(arguments, Deployment.bounds(2500, 2500, 5000), CaseUnframed::run);
    }

    private static boolean run(Record record, Fleet fleet, boolean isTrouble) throws Exception {
        Store store = new Store(fleet.address(1));
        List<Backend> backends = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Backend b = new Backend(
                    fleet.address(10 + i), "i-depot" + i, "depot", "zone-a", 6, 100, record, RECEIVE_BYTES);
            b.setBehaviour(c -> answerEarly(c, record, isTrouble));
            backends.add(b);
        }
        Backend.registerAll(store, backends);
        new Deployment()
                .service("depot", 900)
                .route("upload", "upload", "/upload/", "depot", 4000, 6000, 2)
                .write(store, 7);
        fleet.start(store, "zone-a", "zone-a");
        Thread.sleep(1_000);
        int whole = 0;
        int partial = 0;
        for (int i = 0; i < UPLOADS; i++) {
            try (Caller c = new Caller(
                    "client-" + i, Deployment.HOST_NAME, fleet.hosts().get(i % 2).front(), record)) {
                Caller.Result r =
                        c.call("POST", "/upload/a", Caller.newId(), new byte[UPLOAD_BYTES], DEADLINE_MILLIS);
                if (r instanceof Caller.Result.Answered a && a.status() / 100 == 2) {
                    String body = new String(a.body(), StandardCharsets.ISO_8859_1);
                    record.line("client-" + i + " got a complete success with the body: " + body);
                    boolean isWhole = a.body().length == FIRST_HALF.length + SECOND_HALF.length;
                    whole += isWhole ? 1 : 0;
                    partial += isWhole ? 0 : 1;
                }
            }
        }
        return Case.result(
                record,
                "uploads sent " + UPLOADS + ", whole successes " + whole + ", successes with half of the body " + partial,
                "MIXED",
                partial > 0);
    }

    /** Answers before the body is read. Ends the answer by closing the connection, or is reset in its middle. */
    private static boolean answerEarly(Backend.Call c, Record record, boolean isTrouble) throws java.io.IOException,
            InterruptedException {
        record.line("backend " + c.backend().id() + " begins to answer " + c.id() + " before it has read its body");
        record.run(c.id());
        c.out().write(Http.bytes("HTTP/1.1 200 OK\r\nHyssophitch-Request-Id: " + c.id()
                + "\r\nHyssophitch-Response-Signature: " + Backend.signature(c.id()) + "\r\n" + c.backend().load()
                + "\r\n"));
        c.out().write(FIRST_HALF);
        c.out().flush();
        Thread.sleep(300);
        if (isTrouble) {
            record.line("backend " + c.backend().id() + " is reset in the middle of its answer to " + c.id());
            c.socket().setSoLinger(true, 0);
            c.socket().close();
            return true;
        }
        c.out().write(SECOND_HALF);
        c.out().flush();
        Http.readRequestBody(c.in(), c.head());
        c.socket().close();
        return true;
    }
}
