package org.hyssophitch.entry;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.IntStream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/** Servers of one service that send bytes without end, beside callers of another service. */
public class StarvedCallersTest {

    private static final int CALLERS = 24;
    private static final long RUN_MILLIS = 2_500;
    private static final long MAX_CALM_MILLIS = 500;
    private static final int WRITE_BYTES = 65_536;
    private static final String INTERIM_LINK = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";

    /** What a server sends once, and then again and again; the id of the request stands for {@code ID}. */
    @DataProvider
    Object[][] endless() {
        String foreign = "HTTP/1.1 200 X\r\nHyssophitch-Request-Id: other\r\nContent-Length: 1\r\n\r\nx";
        return new Object[][] {
            {"interim responses", "", INTERIM_LINK},
            {"interim responses without headers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
            {"foreign responses", "", foreign},
            {"body of a foreign response", "HTTP/1.1 200 X\r\nHyssophitch-Request-Id: other\r\n\r\n", "x"},
            {"header lines", "HTTP/1.1 200 X\r\n", "A: b\r\n"},
            {"line breaks", "", "\r\n"},
            {"chunks of an error", status(500) + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
            {"chunks of a success", status(200) + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
            {"chunks of a refusal", refusal() + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
            {"trailers", status(200) + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
        };
    }

    /** Guards against servers that send without end and so keep the host from requests to other services. */
    @Test(dataProvider = "endless")
    public void callersOfOtherServersAreServedInTime(String name, String start, String repeated) throws Exception {
        AtomicBoolean isRunning = new AtomicBoolean(true);
        byte[] block = repeated.repeat(WRITE_BYTES / repeated.length()).getBytes(StandardCharsets.ISO_8859_1);
        ScriptedServer.Script script = (r, c) -> {
            ScriptedServer.write(c, start.replace("ID", r.id()));
            while (isRunning.get()) {
                c.getOutputStream().write(block);
            }
            return false;
        };
        try (ScriptedServer first = new ScriptedServer(script);
                ScriptedServer second = new ScriptedServer(script);
                ScriptedServer third = new ScriptedServer(script);
                ScriptedServer calm = new ScriptedServer(ScriptedServer.ok("own"));
                DataPath path = new DataPath(DataPath.LIMITS, first, second, third)) {
            path.registerBeside(calm, first, second, third);
            path.exchange(DataPath.get("/calm/x", "first"), 1);
            List<Thread> callers = IntStream.range(0, CALLERS)
                    .mapToObj(i -> Thread.startVirtualThread(() -> call(path, isRunning, i)))
                    .toList();
            List<Long> millis = calmCalls(path);
            isRunning.set(false);
            for (Thread t : callers) {
                t.join();
            }
            long slowest = millis.stream().mapToLong(m -> m).max().orElseThrow();
            assertTrue(slowest <= MAX_CALM_MILLIS, name + ": " + millis.size() + " calls, slowest " + slowest + " ms");
        }
    }

    private static List<Long> calmCalls(DataPath path) throws IOException {
        List<Long> millis = new ArrayList<>();
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RUN_MILLIS);
        while (System.nanoTime() < endNanos) {
            long startNanos = System.nanoTime();
            String response = path.exchange(DataPath.get("/calm/x", "calm-" + millis.size()), 1);
            assertTrue(response.endsWith("own"), response);
            millis.add(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
        }
        return millis;
    }

    private static void call(DataPath path, AtomicBoolean isRunning, int caller) {
        for (int i = 0; isRunning.get(); i++) {
            try (Socket s = path.connect()) {
                DataPath.send(s, DataPath.get("/s/x", "c" + caller + "-" + i), 1);
            } catch (IOException e) {
                // What these callers get is another test's matter.
            }
        }
    }

    private static String status(int status) {
        return "HTTP/1.1 " + status + " X\r\nHyssophitch-Request-Id: ID\r\nHyssophitch-Response-Signature: s\r\n";
    }

    private static String refusal() {
        return "HTTP/1.1 503 X\r\nHyssophitch-Request-Id: ID\r\nHyssophitch-Not-Executed: overload\r\n";
    }
}
