package org.hyssophitch.entry;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/**
 * Runs concurrent callers against servers that stutter, and compares each answer with what the servers really wrote:
 * a caller gets only whole answers to its own request, "not run" is true, and an unsafe request runs at most once.
 *
 * <p>The property {@code stutter.seeds} sets the number of seeds.
 */
public class StutteringServerTest {

    private static final int SEEDS = Integer.getInteger("stutter.seeds", 4);
    private static final int HOSTS = 2;
    private static final int CALLERS = 16;
    private static final int REQUESTS_PER_CALLER = 25;
    private static final int MAX_PIPELINED = 4;
    private static final int LEAVE_PERCENT = 4;
    /** Statuses that promise that a request has not run. */
    private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

    private record Sent(String id, String method, boolean isSafe) {}

    private record Received(Sent request, AnswerReader.Answer answer) {}

    @DataProvider
    Object[][] seeds() {
        return IntStream.range(0, SEEDS)
                .mapToObj(i -> new Object[] {i, i % 3 + 1, i % 2 == 0})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void callersGetOnlyWholeAnswersToTheirOwnRequests(int seed, int serverCount, boolean echoesIdInRefusals)
            throws Exception {
        StutteringScript.History history = new StutteringScript.History();
        List<ScriptedServer> servers = new ArrayList<>();
        for (int i = 0; i < serverCount; i++) {
            StutteringScript script = new StutteringScript(history, seed * 100L + i, echoesIdInRefusals);
            ScriptedServer server = new ScriptedServer(script);
            server.setProbeScript(script::respondToProbe);
            servers.add(server);
        }
        Queue<Received> received = new ConcurrentLinkedQueue<>();
        Map<String, Sent> sent = new ConcurrentHashMap<>();
        List<DataPath> hosts = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            hosts.add(new DataPath(DataPath.LIMITS, servers.toArray(ScriptedServer[]::new)));
        }
        runCallers(seed, hosts, sent, received);
        List<String> violations = new ArrayList<>();
        received.forEach(r -> check(r, history, violations));
        sent.values().stream()
                .filter(s -> !s.isSafe() && history.runs(s.id()) > 1)
                .forEach(s -> violations.add(s.id() + " ran " + history.runs(s.id()) + " times"));
        for (DataPath host : hosts) {
            host.close();
        }
        for (ScriptedServer server : servers) {
            server.close();
        }
        assertTrue(violations.isEmpty(), "seed " + seed + ": " + violations);
        long successes =
                received.stream().filter(r -> r.answer().status() == 200).count();
        assertTrue(successes > received.size() / 4, successes + " successes of " + received.size());
    }

    private static void check(Received r, StutteringScript.History history, List<String> violations) {
        AnswerReader.Answer a = r.answer();
        String id = r.request().id();
        String signature = a.headers().get("hyssophitch-response-signature");
        if (signature == null) {
            if (a.status() < 300) {
                violations.add(id + " succeeded without a signature");
            }
        } else if (!history.written(id).contains(new StutteringScript.Written(a.status(), signature, a.body()))) {
            violations.add(r.request() + " got an answer that is not its own whole one: " + a.status() + ' ' + signature
                    + ' ' + a.body().length());
        }
        if (!r.request().isSafe() && NOT_RUN.contains(a.status()) && history.runs(id) > 0) {
            violations.add(r.request() + " was told " + a.status() + " and has run");
        }
    }

    private static void runCallers(int seed, List<DataPath> hosts, Map<String, Sent> sent, Queue<Received> received)
            throws Exception {
        AtomicInteger ids = new AtomicInteger();
        Queue<Throwable> failures = new ConcurrentLinkedQueue<>();
        List<Thread> threads = IntStream.range(0, CALLERS)
                .mapToObj(i -> Thread.startVirtualThread(() -> {
                    SplittableRandom random = new SplittableRandom(seed * 1_000L + i);
                    try {
                        runCaller(random, hosts.get(i % hosts.size()), ids, sent, received);
                    } catch (Exception e) {
                        failures.add(e);
                    }
                }))
                .toList();
        for (Thread t : threads) {
            t.join();
        }
        assertTrue(failures.isEmpty(), failures.toString());
    }

    private static void runCaller(
            SplittableRandom random, DataPath host, AtomicInteger ids, Map<String, Sent> sent, Queue<Received> received)
            throws IOException {
        int left = REQUESTS_PER_CALLER;
        while (left > 0) {
            try (Socket s = host.connect()) {
                AnswerReader reader = new AnswerReader(new BufferedInputStream(s.getInputStream()));
                boolean isOpen = true;
                while (isOpen && left > 0) {
                    List<Sent> requests = requests(random, ids);
                    requests.forEach(r -> sent.put(r.id(), r));
                    left -= requests.size();
                    isOpen = exchange(random, s, reader, requests, received);
                }
            } catch (IOException e) {
                // A closed connection promises nothing; the caller goes on with a new one.
            }
        }
    }

    /** Returns one unsafe request, or some safe ones to be pipelined. */
    private static List<Sent> requests(SplittableRandom random, AtomicInteger ids) {
        if (random.nextInt(3) == 0) {
            return List.of(new Sent("id-" + ids.incrementAndGet(), "POST", false));
        }
        int count = 1 + random.nextInt(MAX_PIPELINED);
        return IntStream.range(0, count)
                .mapToObj(i -> new Sent("id-" + ids.incrementAndGet(), random.nextInt(5) == 0 ? "HEAD" : "GET", true))
                .toList();
    }

    /** Sends requests and reads their answers; returns whether the connection stays open. */
    private static boolean exchange(
            SplittableRandom random, Socket s, AnswerReader reader, List<Sent> requests, Queue<Received> received)
            throws IOException {
        String text = requests.stream().map(StutteringServerTest::text).collect(Collectors.joining());
        s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        if (random.nextInt(100) < LEAVE_PERCENT) {
            return false;
        }
        for (Sent r : requests) {
            AnswerReader.Answer a = reader.read(r.method().equals("HEAD"));
            received.add(new Received(r, a));
            if ("close".equals(a.headers().get("connection"))) {
                return false;
            }
        }
        return true;
    }

    private static String text(Sent r) {
        String head = r.method() + (r.isSafe() ? " /s/x" : " /u/x") + " HTTP/1.1\r\nHost: h.example\r\n"
                + "Hyssophitch-Request-Id: " + r.id() + "\r\n";
        return r.isSafe() ? head + "\r\n" : head + "Content-Length: 4\r\n\r\nbody";
    }
}
