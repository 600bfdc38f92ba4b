package org.hyssophitch.entry;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.Stream;

import org.hyssophitch.wire.net.ListenFailedException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/** Tests servers that stop in the middle of an answer's head and close or reset the connection. */
public class CutOffHeadTest {

    private static final int PAUSE_MILLIS = 20;
    private static final int MAX_TRIES = 5;
    private static final int WORKERS = 6;
    private static final String BODY = "0123456789";
    /** Id of a request that is answered as a whole. */
    private static final String WHOLE = "whole";

    /** Kinds of answers, by their status and the headers that tell where their body ends. */
    private enum Kind {
        LENGTH(200, "Content-Length: " + BODY.length() + "\r\n"),
        CHUNKED(200, "Transfer-Encoding: chunked\r\n"),
        UNFRAMED(200, ""),
        NO_CONTENT(204, ""),
        NOT_MODIFIED(304, ""),
        REFUSAL(503, "Hyssophitch-Not-Executed: 1\r\nContent-Length: 0\r\n");

        private final int status;
        private final String framing;

        Kind(int status, String framing) {
            this.status = status;
            this.framing = framing;
        }

        String head(String id) {
            return "HTTP/1.1 " + status + " X\r\nHyssophitch-Request-Id: " + id
                    + "\r\nHyssophitch-Response-Signature: s\r\n" + framing + "\r\n";
        }

        /** Returns the lengths at which a head is cut off: in its first line and around the end of each line. */
        List<Integer> places() {
            String head = head("id");
            List<Integer> places = new ArrayList<>(List.of(1, "HTTP/1.1 ".length(), "HTTP/1.1 2".length()));
            for (int end = head.indexOf("\r\n"); end >= 0; end = head.indexOf("\r\n", end + 2)) {
                places.addAll(List.of(end - 1, end, end + 1, Math.min(end + 2, head.length() - 1)));
            }
            return places;
        }
    }

    /** Answers as a whole, or cuts an answer's head off. */
    private record Cut(Kind kind, int place, boolean isReset) implements ScriptedServer.Script {

        @Override
        public boolean respond(ScriptedServer.Request r, Socket c) throws IOException, InterruptedException {
            if (r.id().equals(WHOLE)) {
                return ScriptedServer.ok(BODY).respond(r, c);
            }
            ScriptedServer.write(c, kind.head("id").substring(0, place));
            Thread.sleep(PAUSE_MILLIS);
            c.setSoLinger(isReset, 0);
            return false;
        }
    }

    @DataProvider
    Object[][] cuts() {
        return Stream.of(Kind.values())
                .flatMap(k -> Stream.of("GET", "HEAD", "POST")
                        .flatMap(m -> Stream.of(new Object[] {k, m, false}, new Object[] {k, m, true})))
                .toArray(Object[][]::new);
    }

    /** The beginning of a head must become neither an answer with an empty or short body nor a refusal. */
    @Test(dataProvider = "cuts")
    public void beginningOfAHeadIsNoAnswer(Kind kind, String method, boolean isReset) throws Exception {
        Queue<String> violations = new ConcurrentLinkedQueue<>();
        try (ExecutorService workers = Executors.newFixedThreadPool(WORKERS)) {
            kind.places().forEach(p -> workers.execute(() -> check(new Cut(kind, p, isReset), method, violations)));
        }
        assertTrue(violations.isEmpty(), violations.toString());
    }

    /** Cuts off the first answer on a connection and, on another path, the second one. */
    private static void check(Cut cut, String method, Queue<String> violations) {
        for (boolean isSecond : List.of(false, true)) {
            boolean isTried = false;
            for (int i = 0; i < MAX_TRIES && !isTried; i++) {
                isTried = tryOnce(cut, method, isSecond, violations);
            }
            if (!isTried) {
                violations.add(cut + ": no request reached the server");
            }
        }
    }

    /** Returns whether a request reached the server; on a busy machine the host may refuse or close before that. */
    private static boolean tryOnce(Cut cut, String method, boolean isSecond, Queue<String> violations) {
        try (ScriptedServer s = new ScriptedServer(cut);
                DataPath path = new DataPath(DataPath.LIMITS, s)) {
            String first = isSecond ? path.exchange(DataPath.get("/s/x", WHOLE), 1) : BODY;
            String response = path.exchange(request(method), 1);
            boolean hasArrived = s.requests().stream().anyMatch(r -> r.id().equals("id"));
            boolean isLost = response.startsWith("HTTP/1.1 502") || response.startsWith("HTTP/1.1 504");
            boolean isUntried = !hasArrived && (response.isEmpty() || response.startsWith("HTTP/1.1 503"));
            if (!isLost && !isUntried) {
                violations.add(cut + " second " + isSecond + ", arrived " + hasArrived + ": " + response);
            }
            return hasArrived && first.endsWith(BODY);
        } catch (ListenFailedException e) {
            // Another host of this test has got the port meanwhile.
            return false;
        } catch (IOException e) {
            violations.add(cut + ": " + e);
            return true;
        }
    }

    private static String request(String method) {
        boolean isSafe = !method.equals("POST");
        String head = method + (isSafe ? " /s/x" : " /u/x")
                + " HTTP/1.1\r\nHost: h.example\r\nHyssophitch-Request-Id: id\r\n";
        return isSafe ? head + "\r\n" : head + "Content-Length: 1\r\n\r\nx";
    }
}
