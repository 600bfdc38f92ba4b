package org.hyssophitch.entry;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Guards against an answer whose head or framing breaks the protocol and that reaches a caller all the same. */
public class BrokenHeadTest {

    private static final String SAFE = "GET /s/x";
    private static final String SAFE_HEAD = "HEAD /s/x";
    private static final String UNSAFE = "POST /u/x";
    /** Maximum size in bytes of what the server writes at once; 0 for the whole answer. */
    private static final List<Integer> PIECES = List.of(0, 7);
    /** Time in milliseconds between the pieces of an answer, in which the entry host reads one. */
    private static final int PIECE_PAUSE_MILLIS = 1;

    /** Sends one form of answer, and records the connection of each request. */
    private static final class FormServer implements ScriptedServer.Script {

        private final AnswerForms.Form form;
        private final int pieceBytes;
        private final List<Socket> connections = new CopyOnWriteArrayList<>();

        private FormServer(AnswerForms.Form form, int pieceBytes) {
            this.form = form;
            this.pieceBytes = pieceBytes;
        }

        @Override
        public boolean respond(ScriptedServer.Request request, Socket connection)
                throws IOException, InterruptedException {
            connections.add(connection);
            write(connection, form.to(request), pieceBytes);
            return true;
        }
    }

    @DataProvider(parallel = true)
    Object[][] brokenAnswers() {
        List<Object[]> all = new ArrayList<>();
        for (AnswerForms.Form form : AnswerForms.broken()) {
            for (String call : List.of(SAFE, UNSAFE)) {
                PIECES.forEach(p -> all.add(new Object[] {form, call, p}));
            }
        }
        return all.toArray(Object[][]::new);
    }

    /** All servers answer all requests with one broken form. */
    @Test(dataProvider = "brokenAnswers")
    public void brokenAnswerReachesNoCaller(AnswerForms.Form form, String call, int pieceBytes) throws Exception {
        check(form, call, pieceBytes);
    }

    @DataProvider(parallel = true)
    Object[][] brokenHeads() {
        return AnswerForms.brokenHeads().map(f -> new Object[] {f}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "brokenHeads")
    public void brokenHeadReachesNoCallerOfAHeadRequest(AnswerForms.Form form) throws Exception {
        check(form, SAFE_HEAD, 0);
    }

    private static void check(AnswerForms.Form form, String call, int pieceBytes) throws Exception {
        FormServer script = new FormServer(form, pieceBytes);
        try (ScriptedServer a = new ScriptedServer(script);
                ScriptedServer b = new ScriptedServer(script);
                DataPath path = new DataPath(DataPath.LIMITS, a, b)) {
            for (String id : List.of("r1", "r2")) {
                String response = exchange(path, call, id);
                assertTrue(response.startsWith("HTTP/1.1 502 "), response);
                assertFalse(response.contains("Hyssophitch-Response-Signature"), response);
                assertFalse(response.contains("Hyssophitch-Not-Executed"), response);
                assertFalse(response.contains(AnswerForms.BODY), response);
            }
            int attempts = script.connections.size();
            assertTrue(attempts == 2 || attempts > 2 && !call.equals(UNSAFE), attempts + " attempts");
            assertEquals(Set.copyOf(script.connections).size(), attempts, "a connection was used again");
        }
    }

    @DataProvider(parallel = true)
    Object[][] soundAnswers() {
        List<Object[]> all = new ArrayList<>();
        for (AnswerForms.Form form : AnswerForms.sound().toList()) {
            for (int pieceBytes : List.of(0, 1, 7)) {
                all.add(new Object[] {form, pieceBytes});
            }
        }
        return all.toArray(Object[][]::new);
    }

    /** Guards against a check that refuses what the protocol allows. */
    @Test(dataProvider = "soundAnswers")
    public void soundAnswerReachesItsCaller(AnswerForms.Form form, int pieceBytes) throws Exception {
        try (ScriptedServer s = new ScriptedServer(new FormServer(form, pieceBytes));
                DataPath path = new DataPath(DataPath.LIMITS, s)) {
            for (String call : List.of(SAFE, UNSAFE)) {
                String response = exchange(path, call, "r" + call.length());
                assertTrue(response.startsWith("HTTP/1.1 2"), response);
                assertTrue(response.contains("Hyssophitch-Response-Signature: s\r\n"), response);
                assertTrue(response.contains(AnswerForms.BODY), response);
            }
        }
    }

    /** Sends a request on a connection of its own and returns all that comes back until its end. */
    private static String exchange(DataPath path, String call, String id) throws IOException {
        boolean hasBody = call.equals(UNSAFE);
        String request = call + " HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nHyssophitch-Request-Id: " + id
                + "\r\nHyssophitch-Deadline-Milliseconds: 3000\r\n"
                + (hasBody ? "Content-Length: 4\r\n\r\nbody" : "\r\n");
        try (Socket s = path.connect()) {
            s.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            return new String(s.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    private static void write(Socket connection, String answer, int pieceBytes)
            throws IOException, InterruptedException {
        if (pieceBytes == 0) {
            ScriptedServer.write(connection, answer);
            return;
        }
        for (int at = 0; at < answer.length(); at += pieceBytes) {
            ScriptedServer.write(connection, answer.substring(at, Math.min(answer.length(), at + pieceBytes)));
            Thread.sleep(PIECE_PAUSE_MILLIS);
        }
    }
}
