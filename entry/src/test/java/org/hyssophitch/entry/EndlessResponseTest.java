package org.hyssophitch.entry;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** A backend server that sends bytes without end, until the entry host closes the connection. */
public class EndlessResponseTest {

    private static final long ANSWER_SLACK_MILLIS = 500;
    private static final int WRITE_SIZE = 1_000;
    /** Less than the timeout of the route. */
    private static final int MAX_ATTEMPT_SECONDS = 3;

    @DataProvider
    public Object[][] heads() {
        return new Object[][] {
            {"no HTTP", "", "x"},
            {"line breaks", "", "\r\n"},
            {"spaces", "", " "},
            {"header lines", "HTTP/1.1 200 X\r\n", "A: b\r\n"},
            {"one header", "HTTP/1.1 200 X\r\nA: ", "b"},
            {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
            {"chunk size", "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n1;", "a"},
            {"trailers", "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
        };
    }

    /** The caller gets a failure at its time-out at the latest, and the server's connection is closed. */
    @Test(dataProvider = "heads")
    public void endlessHeadHoldsItsCallerOrConnection(String name, String start, String repeated) throws Exception {
        CountDownLatch closed = new CountDownLatch(1);
        try (ScriptedServer server = new ScriptedServer((r, c) -> sendWithoutEnd(c, start, repeated, closed));
                DataPath path = new DataPath(DataPath.LIMITS, server)) {
            long startNanos = System.nanoTime();
            String answer = path.exchange(DataPath.get("/s/x", "s1"), 1);
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            assertFalse(answer.startsWith("HTTP/1.1 200"), name + ": " + answer);
            assertTrue(millis < DataPath.ROUTE_TIMEOUT_MILLIS + ANSWER_SLACK_MILLIS, name + ": " + millis + " ms");
            await(() -> closed.getCount() == 0, name);
        }
    }

    @DataProvider
    public Object[][] noAnswers() {
        String foreign = "HTTP/1.1 200 X\r\nHyssophitch-Request-Id: other\r\n";
        String refusal = "HTTP/1.1 503 X\r\nHyssophitch-Request-Id: ID\r\nHyssophitch-Not-Executed: overload\r\n";
        return new Object[][] {
            {"interim responses", "", "HTTP/1.1 103 X\r\nLink: </a>\r\n\r\n"},
            {"another protocol", "HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n", "x"},
            {"foreign responses", "", foreign + "Content-Length: 1\r\n\r\nx"},
            {"body of a foreign response", foreign + "\r\n", "x"},
            {"body of a refusal", refusal + "\r\n", "x"},
            {"body of an unproven refusal", "HTTP/1.1 503 X\r\nHyssophitch-Request-Id: ID\r\n\r\n", "x"},
        };
    }

    /** Guards against a server that keeps an attempt and its host busy with what is no part of an answer. */
    @Test(dataProvider = "noAnswers")
    public void endlessBytesThatAreNoAnswerEndTheirAttemptAtOnce(String name, String start, String repeated)
            throws Exception {
        CountDownLatch closed = new CountDownLatch(1);
        ScriptedServer.Script script = (r, c) -> sendWithoutEnd(c, start.replace("ID", r.id()), repeated, closed);
        try (ScriptedServer server = new ScriptedServer(script);
                DataPath path = new DataPath(DataPath.LIMITS, server);
                Socket caller = path.connect()) {
            caller.getOutputStream()
                    .write(DataPath.post("/wait/x", "u1", "body").getBytes(StandardCharsets.ISO_8859_1));
            assertTrue(closed.await(MAX_ATTEMPT_SECONDS, TimeUnit.SECONDS), name);
            assertTrue(path.metrics().contains("hyssophitch_rejected_answers_total"), name);
        }
    }

    /** A body without end is relayed as far as the caller reads it, and ends with the caller. */
    @Test
    public void endlessBodyOutlivesItsCaller() throws Exception {
        CountDownLatch closed = new CountDownLatch(1);
        String head = "Transfer-Encoding: chunked\r\n\r\n";
        String chunk = "3e8\r\n" + "x".repeat(WRITE_SIZE) + "\r\n";
        try (ScriptedServer server = new ScriptedServer(
                        (r, c) -> sendWithoutEnd(c, ScriptedServer.head(r, 200) + head, chunk, closed));
                DataPath path = new DataPath(DataPath.LIMITS, server)) {
            try (Socket caller = path.connect()) {
                caller.getOutputStream().write(DataPath.get("/s/x", "s1").getBytes(StandardCharsets.ISO_8859_1));
                caller.getInputStream().readNBytes(WRITE_SIZE);
            }
            await(() -> closed.getCount() == 0, "body");
        }
    }

    private static boolean sendWithoutEnd(Socket connection, String start, String repeated, CountDownLatch closed) {
        String text = repeated.repeat(Math.max(1, WRITE_SIZE / repeated.length()));
        try {
            ScriptedServer.write(connection, start);
            while (true) {
                ScriptedServer.write(connection, text);
            }
        } catch (IOException e) {
            closed.countDown();
            return false;
        }
    }

    private static void await(BooleanSupplier condition, String name) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ANSWER_SLACK_MILLIS);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < endNanos, name + ": the server's connection is still open");
            Thread.sleep(10);
        }
    }
}
