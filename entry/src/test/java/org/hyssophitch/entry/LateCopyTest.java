package org.hyssophitch.entry;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests servers that write an answer once more, at the point where the next one is expected. */
public class LateCopyTest {

    private static final int CALLS = 20;
    private static final int PAUSE_MILLIS = 50;
    /** One for the requests, one for their retries, and two for load probes beside them. */
    private static final int MAX_KEPT_CONNECTIONS = 4;

    /** Refuses the first attempt of each request, and writes the refusal once more before the answer to the second. */
    private static final class RepeatedRefusal implements ScriptedServer.Script {

        private final Map<String, Socket> refused = new ConcurrentHashMap<>();
        private final String refusalHeader;

        private RepeatedRefusal(String refusalHeader) {
            this.refusalHeader = refusalHeader;
        }

        @Override
        public boolean respond(ScriptedServer.Request r, Socket c) throws IOException, InterruptedException {
            Socket first = refused.putIfAbsent(r.id(), c);
            if (first == null) {
                ScriptedServer.write(c, refusal(r));
                return true;
            }
            if (first == c) {
                ScriptedServer.write(c, refusal(r));
            }
            return ScriptedServer.ok("own-" + r.id()).respond(r, c);
        }

        private String refusal(ScriptedServer.Request r) {
            return ScriptedServer.head(r, 503) + refusalHeader + "Content-Length: 0\r\n\r\n";
        }
    }

    @DataProvider
    Object[][] paths() {
        return new Object[][] {{"/s/x"}, {"/u/x"}};
    }

    /** The attempts of a call have the same id, so that a late answer to the first one passes for one to the second. */
    @Test(dataProvider = "paths")
    public void refusalOfAnEarlierAttemptIsNotTakenForTheAnswerToItsRetry(String path) throws Exception {
        try (ScriptedServer s = new ScriptedServer(new RepeatedRefusal("Hyssophitch-Not-Executed: 1\r\n"));
                DataPath dataPath = new DataPath(DataPath.LIMITS, s)) {
            for (int i = 0; i < CALLS; i++) {
                String response = dataPath.exchange(DataPath.post(path, "id-" + i, "x"), 1);
                boolean hasRun = s.requests().size() > 2 * i + 1;
                assertTrue(!hasRun || response.endsWith("own-id-" + i), response);
                assertEquals(s.requests().size(), 2 * i + 2, "attempts, two for each call");
            }
        }
    }

    @DataProvider
    Object[][] refusals() {
        String unidentified = "HTTP/1.1 503 X\r\nHyssophitch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        String misdirected = "HTTP/1.1 421 X\r\nHyssophitch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        String unproven = "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n";
        return new Object[][] {{unidentified}, {misdirected}, {unproven}};
    }

    /** A refusal without an id that a server writes once more must not refuse the next request on its connection. */
    @Test(dataProvider = "refusals")
    public void refusalWithoutAnIdIsNotTakenForTheAnswerToALaterRequest(String refusal) throws Exception {
        Set<String> refused = ConcurrentHashMap.newKeySet();
        Set<Socket> repeating = ConcurrentHashMap.newKeySet();
        ScriptedServer.Script script = (r, c) -> {
            if (repeating.contains(c)) {
                ScriptedServer.write(c, refusal);
            } else if (refused.add(r.id())) {
                repeating.add(c);
                ScriptedServer.write(c, refusal);
                return true;
            }
            return ScriptedServer.ok("own-" + r.id()).respond(r, c);
        };
        try (ScriptedServer a = new ScriptedServer(script);
                ScriptedServer b = new ScriptedServer(script);
                DataPath path = new DataPath(DataPath.LIMITS, a, b)) {
            for (int i = 0; i < CALLS; i++) {
                String response = path.exchange(DataPath.post("/u/x", "id-" + i, "x"), 1);
                assertEquals(runs(a, b, "id-" + i, refused), response.endsWith("own-id-" + i) ? 1 : 0, response);
            }
        }
    }

    /** A server that refuses without an id what it has answered must not refuse the next request on its connection. */
    @Test(dataProvider = "refusals")
    public void refusalOfAnAnsweredRequestIsNotTakenForTheAnswerToALaterRequest(String refusal) throws Exception {
        Set<Socket> used = ConcurrentHashMap.newKeySet();
        ScriptedServer.Script script = (r, c) -> {
            if (!used.add(c)) {
                ScriptedServer.write(c, refusal);
            }
            return ScriptedServer.ok("own-" + r.id()).respond(r, c);
        };
        try (ScriptedServer a = new ScriptedServer(script);
                ScriptedServer b = new ScriptedServer(script);
                DataPath path = new DataPath(DataPath.LIMITS, a, b)) {
            for (int i = 0; i < CALLS; i++) {
                String response = path.exchange(DataPath.post("/u/x", "id-" + i, "x"), 1);
                long runs = runs(a, b, "id-" + i, Set.of());
                assertTrue(runs == 1 && !response.startsWith("HTTP/1.1 503"), runs + " runs: " + response);
            }
        }
    }

    /** A load probe has no id, and neither has its refusal; a late copy of it must not refuse a request. */
    @Test
    public void refusalOfALoadProbeIsNotTakenForTheAnswerToARequest() throws Exception {
        String refusal = "HTTP/1.1 503 X\r\nHyssophitch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        Set<Socket> repeating = ConcurrentHashMap.newKeySet();
        AtomicInteger probes = new AtomicInteger();
        try (ScriptedServer s = new ScriptedServer((r, c) -> {
                    if (repeating.contains(c)) {
                        ScriptedServer.write(c, refusal);
                    }
                    return ScriptedServer.ok("own-" + r.id()).respond(r, c);
                });
                DataPath path = new DataPath(DataPath.LIMITS, s)) {
            s.setProbeScript((r, c) -> {
                boolean isRefused = probes.incrementAndGet() % 3 == 0;
                if (isRefused) {
                    repeating.add(c);
                }
                ScriptedServer.write(
                        c,
                        isRefused
                                ? refusal
                                : "HTTP/1.1 200 X\r\nHyssophitch-Server-Load: 0,0,3,100\r\nContent-Length: 0\r\n\r\n");
                return true;
            });
            for (int i = 0; i < CALLS * 2; i++) {
                String id = "id-" + i;
                String response = path.exchange(DataPath.post("/u/x", id, "x"), 1);
                long runs = s.requests().stream().filter(r -> r.id().equals(id)).count();
                assertEquals(runs, response.endsWith("own-" + id) ? 1 : 0, response);
            }
            assertTrue(!repeating.isEmpty(), "a probe was refused");
        }
    }

    /** A server that is full refuses many requests; each of them would cost a connection. */
    @Test
    public void refusalWithTheRequestsIdKeepsItsConnection() throws Exception {
        try (ScriptedServer s = new ScriptedServer((r, c) -> {
                    ScriptedServer.write(
                            c,
                            ScriptedServer.head(r, 503) + "Hyssophitch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                    return true;
                });
                DataPath path = new DataPath(DataPath.LIMITS, s)) {
            for (int i = 0; i < CALLS; i++) {
                String response = path.exchange(DataPath.post("/u/x", "id-" + i, "x"), 1);
                assertTrue(response.startsWith("HTTP/1.1 503"), response);
            }
            assertTrue(s.connections() <= MAX_KEPT_CONNECTIONS, s.connections() + " connections");
        }
    }

    /** A server that answers 421 without an id has not run the request; the call must not wait for its timeout. */
    @Test
    public void misdirectedRequestWithoutAnIdIsRetriedAtOnce() throws Exception {
        try (ScriptedServer other = new ScriptedServer((r, c) -> {
                    ScriptedServer.write(c, "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n");
                    return true;
                });
                ScriptedServer own = new ScriptedServer(ScriptedServer.ok("own"));
                DataPath path = new DataPath(DataPath.LIMITS, other, own)) {
            own.setLoad("1,0,3,100");
            for (int i = 0; i < CALLS; i++) {
                String response = path.exchange(DataPath.post("/u/x", "id-" + i, "x"), 1);
                assertTrue(response.endsWith("own"), response);
            }
            assertEquals(own.requests().size(), CALLS);
            assertTrue(!other.requests().isEmpty(), "the other server got a request");
        }
    }

    /** Returns how often servers ran a request, which they refused at the first attempt. */
    private static long runs(ScriptedServer a, ScriptedServer b, String id, Set<String> refused) {
        long attempts = Stream.of(a, b)
                .flatMap(s -> s.requests().stream())
                .filter(r -> r.id().equals(id))
                .count();
        return refused.contains(id) ? attempts - 1 : attempts;
    }

    @DataProvider
    Object[][] beginnings() {
        return new Object[][] {
            {"HTTP/1.1 200 X\r\nHyssophitch-Response-Signature: s1"},
            {"HTTP/1.1 200 X\r\nHyssophitch-Request-Id: ID\r\nHyssophitch-Response-Signature: s1"},
            {"HTTP/1.1 200 X\r\nHyssophitch-Request-Id: ID\r\nHyssophitch-Response-Signature: s1.2\r\nServer: a"},
            {"HTTP/1.1 200 X\r\nHyssophitch-Request-Id: ID\r\nContent-Type: text"},
        };
    }

    /** An answer that a server begins anew in its head has headers of both beginnings; a caller must not get them. */
    @Test(dataProvider = "beginnings")
    public void answerThatIsBegunAnewInItsHeadIsNotTaken(String beginning) throws Exception {
        try (ScriptedServer s = new ScriptedServer((r, c) -> {
                    ScriptedServer.write(
                            c,
                            beginning.replace("ID", r.id()) + "HTTP/1.1 200 X\r\nHyssophitch-Request-Id: " + r.id()
                                    + "\r\nHyssophitch-Response-Signature: s1.2\r\nContent-Type: text/plain\r\n"
                                    + "Content-Length: 3\r\n\r\nown");
                    return true;
                });
                DataPath path = new DataPath(DataPath.LIMITS, s)) {
            String response = path.exchange(DataPath.post("/u/x", "id-1", "x"), 1);
            assertTrue(response.startsWith("HTTP/1.1 502"), response);
            assertEquals(s.requests().size(), 1);
        }
    }

    @DataProvider
    Object[][] methods() {
        return new Object[][] {{"GET", "HEAD"}, {"HEAD", "GET"}, {"HEAD", "HEAD"}};
    }

    /**
     * The decoder takes a late answer for the one to the request in flight, and so reads the real one as if it had a
     * body, or none. The call must not wait for the rest until its timeout.
     */
    @Test(dataProvider = "methods")
    public void lateAnswerBesideAHeadRequestEndsTheAttemptAtOnce(String first, String second) throws Exception {
        AtomicInteger copies = new AtomicInteger();
        ScriptedServer.Script stuttering = (r, c) -> {
            if (r.id().equals("second") && copies.getAndIncrement() == 0) {
                String length = first.equals("HEAD") ? "3" : "0";
                ScriptedServer.write(
                        c, "HTTP/1.1 200 X\r\nHyssophitch-Request-Id: first\r\nContent-Length: " + length + "\r\n\r\n");
            }
            String head = ScriptedServer.head(r, 200) + "Content-Length: 3\r\n\r\n";
            ScriptedServer.write(c, r.line().startsWith("HEAD ") ? head : head + "own");
            return true;
        };
        try (ScriptedServer s = new ScriptedServer(stuttering);
                DataPath path = new DataPath(DataPath.LIMITS, s)) {
            exchange(path, first, "first");
            Thread.sleep(PAUSE_MILLIS);
            long start = System.nanoTime();
            AnswerReader.Answer answer = exchange(path, second, "second");
            long millis = (System.nanoTime() - start) / 1_000_000;
            assertEquals(answer.status(), 200, answer.toString());
            assertEquals(answer.body(), second.equals("HEAD") ? "" : "own");
            assertTrue(millis < DataPath.ROUTE_TIMEOUT_MILLIS / 2, answer + " after " + millis + " ms");
        }
    }

    private static AnswerReader.Answer exchange(DataPath path, String method, String id) throws IOException {
        String request = DataPath.get("/s/x", id).replaceFirst("GET", method);
        try (Socket s = path.connect()) {
            s.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            return new AnswerReader(s.getInputStream()).read(method.equals("HEAD"));
        }
    }
}
