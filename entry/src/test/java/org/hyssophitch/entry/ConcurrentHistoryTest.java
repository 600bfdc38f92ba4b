package org.hyssophitch.entry;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Runs many concurrent callers against servers that violate the protocol, and compares what callers and servers saw:
 * non-idempotent requests run at most once, "not run" is true, and each response belongs to its request.
 */
public class ConcurrentHistoryTest {

    private static final int CALLERS = 12;
    private static final int REQUESTS_PER_CALLER = 40;
    private static final int SERVERS = 4;
    /** Percentage of requests that a server answers with a fault. */
    private static final int FAULT_PERCENT = 15;

    /** Outcome of one request as the caller saw it; status 0 without a response. */
    private record Observation(String id, boolean idempotent, int status, String response) {}

    @DataProvider
    Object[][] seeds() {
        return IntStream.range(0, 4).mapToObj(i -> new Object[] {i}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void keepsExecutionGuaranteesWithFaultyServers(int seed) throws Exception {
        Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
        Queue<Observation> observations = new ConcurrentLinkedQueue<>();
        List<ScriptedServer> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new ScriptedServer(faultyScript(new SplittableRandom(seed * 100L + i), runs)));
        }
        try (DataPath path = new DataPath(DataPath.LIMITS, servers.toArray(ScriptedServer[]::new))) {
            runCallers(path, seed, observations);
        }
        for (ScriptedServer s : servers) {
            s.close();
        }
        assertEquals(observations.size(), CALLERS * REQUESTS_PER_CALLER);
        observations.forEach(
                o -> verify(o, runs.getOrDefault(o.id(), new AtomicInteger()).get()));
        long served = observations.stream().filter(o -> o.status() == 200).count();
        assertTrue(served > observations.size() / 2, served + " of " + observations.size() + " served");
    }

    private static void verify(Observation o, int runs) {
        assertTrue(o.idempotent() || runs <= 1, o + " ran " + runs + " times");
        switch (o.status()) {
            case 200 -> assertTrue(o.response().endsWith("own-" + o.id() + "!") && runs >= 1, o + " ran " + runs);
            case 503 -> assertTrue(o.idempotent() || runs == 0, o + " was reported as not run, but ran");
            case 502, 504 -> assertTrue(!o.response().contains("own-"), o.toString());
            default -> assertEquals(o.status(), 0, o.toString());
        }
    }

    private static void runCallers(DataPath path, int seed, Queue<Observation> observations)
            throws InterruptedException {
        CountDownLatch done = new CountDownLatch(CALLERS);
        for (int c = 0; c < CALLERS; c++) {
            int caller = c;
            Thread.startVirtualThread(() -> {
                for (int i = 0; i < REQUESTS_PER_CALLER; i++) {
                    boolean isIdempotent = (caller + i) % 3 != 0;
                    observations.add(request(path, "r" + seed + "-" + caller + "-" + i, isIdempotent));
                }
                done.countDown();
            });
        }
        assertTrue(done.await(60, TimeUnit.SECONDS), "some callers did not finish in time");
    }

    private static Observation request(DataPath path, String id, boolean isIdempotent) {
        String text = isIdempotent ? DataPath.get("/s/" + id, id) : DataPath.post("/u/" + id, id, "body of " + id);
        try {
            String response = path.exchange(text, 1);
            boolean isResponse = response.startsWith("HTTP/1.1 ");
            return new Observation(
                    id, isIdempotent, isResponse ? Integer.parseInt(response.substring(9, 12)) : 0, response);
        } catch (IOException e) {
            return new Observation(id, isIdempotent, 0, "");
        }
    }

    private static ScriptedServer.Script faultyScript(SplittableRandom random, Map<String, AtomicInteger> runs) {
        return (r, c) -> {
            int fault;
            synchronized (random) {
                fault = random.nextInt(100) < FAULT_PERCENT ? 1 + random.nextInt(7) : 0;
            }
            if (fault == 1) {
                ScriptedServer.write(
                        c, ScriptedServer.head(r, 503) + "Hyssophitch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                return true;
            }
            runs.computeIfAbsent(r.id(), id -> new AtomicInteger()).incrementAndGet();
            String body = "own-" + r.id() + "!";
            String whole = ScriptedServer.head(r, 200) + "Content-Length: " + body.length() + "\r\n\r\n" + body;
            return writeWithFault(c, whole, fault);
        };
    }

    /**
     * Writes the response with the given fault: 2 reset, 3 truncated body, 4 duplicate response, 5 another request's
     * id, 6 garbage, 7 late 503 without proof that the request was not run; otherwise none.
     *
     * @return whether the connection stays open
     */
    private static boolean writeWithFault(Socket c, String whole, int fault) throws IOException, InterruptedException {
        switch (fault) {
            case 2 -> c.setSoLinger(true, 0);
            case 3 -> ScriptedServer.write(c, whole.substring(0, whole.length() - 3));
            case 4 -> ScriptedServer.write(c, whole + whole);
            case 5 -> ScriptedServer.write(c, whole.replaceFirst("Request-Id: [^\r]*", "Request-Id: stranger"));
            case 6 -> ScriptedServer.write(c, "garbage\r\n\r\n");
            case 7 -> {
                Thread.sleep(30);
                ScriptedServer.write(c, whole.replaceFirst("200 X", "503 X"));
            }
            default -> ScriptedServer.write(c, whole);
        }
        return fault == 0 || fault == 4 || fault == 7;
    }
}
