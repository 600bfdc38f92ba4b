package org.hyssophitch.entry;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.hyssophitch.wire.concurrent.Pause;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/** Tests calls queued until a server has a free slot, over real sockets. */
public class QueuedCallTest {

    /** After a process pause, deadlines must be checked before queued calls are sent. */
    @Test
    public void sendsNoExpiredCallsAfterAProcessPause() throws Exception {
        try (ScriptedServer s = new ScriptedServer(QueuedCallTest::respondSlowly);
                DataPath path = new DataPath(DataPath.LIMITS, s);
                Socket c = path.connect()) {
            List<Socket> others = saturate(path, s);
            send(c, "late");
            Thread.sleep(50);
            path.runOnLoop(() -> Pause.millis(DataPath.ROUTE_TIMEOUT_MILLIS + 100));
            String response = DataPath.read(c, 1);
            assertTrue(response.startsWith("HTTP/1.1 50"), response);
            Thread.sleep(300);
            assertTrue(s.requests().stream().noneMatch(r -> r.id().equals("late")), "" + s.requests());
            closeAll(others);
        }
    }

    /** A queued request must not be sent after its caller has disconnected. */
    @Test
    public void startsNoAttemptForADisconnectedCaller() throws Exception {
        try (ScriptedServer s = new ScriptedServer(QueuedCallTest::respondSlowly);
                DataPath path = new DataPath(DataPath.LIMITS, s)) {
            List<Socket> others = saturate(path, s);
            try (Socket c = path.connect()) {
                send(c, "left");
                Thread.sleep(50);
            }
            Thread.sleep(900);
            assertTrue(s.requests().stream().noneMatch(r -> r.id().equals("left")), "" + s.requests());
            closeAll(others);
        }
    }

    @DataProvider
    Object[][] unreadRequests() {
        return new Object[][] {
            {DataPath.post("/u/x", "left", "x".repeat(100_000)), false},
            {DataPath.post("/u/x", "left", "x".repeat(100_000)), true},
            {DataPath.post("/u/x", "left", "x".repeat(220_000)), false},
            {DataPath.post("/u/x", "left", "x".repeat(220_000)), true},
            {DataPath.get("/s/x", "left").repeat(18), false},
            {DataPath.get("/s/x", "left").repeat(18), true}
        };
    }

    /** Uploads and pipelined requests that weren't read whole ran up to 3 s after their callers had left. */
    @Test(dataProvider = "unreadRequests")
    public void startsNoAttemptForACallerThatLeftBeforeItWasReadWhole(String requests, boolean isReset)
            throws Exception {
        try (ScriptedServer s = new ScriptedServer(QueuedCallTest::respondSlowly);
                DataPath path = new DataPath(DataPath.LIMITS, s)) {
            List<Socket> others = saturate(path, s);
            Socket c = path.connect();
            c.getOutputStream().write(requests.getBytes(StandardCharsets.ISO_8859_1));
            c.getOutputStream().flush();
            c.setSoLinger(true, isReset ? 0 : 5);
            c.close();
            Thread.sleep(900);
            assertTrue(s.requests().stream().noneMatch(r -> r.id().equals("left")), "" + s.requests());
            closeAll(others);
        }
    }

    /** A call is queued only while it can still meet its target latency, so it is rejected before that time. */
    @Test
    public void rejectsAQueuedCallBeforeItsTargetLatency() throws Exception {
        try (ScriptedServer s = new ScriptedServer(ScriptedServer.ok("x"));
                DataPath path = new DataPath(DataPath.LIMITS, s)) {
            path.exchange(DataPath.post("/u/x", "first", "b"), 1);
            s.requests().clear();
            s.setScript((r, c) -> {
                Thread.sleep(2 * DataPath.ROUTE_TIMEOUT_MILLIS);
                return false;
            });
            List<Socket> others = saturate(path, s);
            long start = System.nanoTime();
            String response = path.exchange(DataPath.post("/u/x", "late", "b"), 1);
            long millis = (System.nanoTime() - start) / 1_000_000;
            assertTrue(response.startsWith("HTTP/1.1 503"), response);
            assertTrue(response.toLowerCase().contains("retry-after: 0."), response);
            assertTrue(millis < DataPath.TARGET_LATENCY_MILLIS, millis + " ms");
            assertTrue(s.requests().stream().noneMatch(r -> r.id().equals("late")), "" + s.requests());
            closeAll(others);
        }
    }

    /** Sends as many requests as the only server accepts, so that further requests are queued. */
    private static List<Socket> saturate(DataPath path, ScriptedServer s) throws IOException, InterruptedException {
        List<Socket> others = new ArrayList<>();
        while (others.size() < 3) {
            Socket o = path.connect();
            send(o, "o" + others.size());
            others.add(o);
        }
        for (int i = 0; i < 100 && s.requests().size() < 2; i++) {
            Thread.sleep(2);
        }
        assertTrue(s.requests().size() >= 2, "" + s.requests());
        return others;
    }

    private static boolean respondSlowly(ScriptedServer.Request r, Socket c) throws IOException, InterruptedException {
        Thread.sleep(400);
        return ScriptedServer.ok("x").respond(r, c);
    }

    private static void send(Socket c, String id) throws IOException {
        c.getOutputStream().write(DataPath.post("/u/x", id, "b").getBytes(StandardCharsets.ISO_8859_1));
    }

    private static void closeAll(List<Socket> sockets) throws IOException {
        for (Socket s : sockets) {
            s.close();
        }
    }
}
