package org.hyssophitch.entry;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests error responses that are buffered while other servers are tried, and servers that change their address. */
public class BufferedResponseTest {

    private static final int CONTENT_LENGTH = 100_000;
    /** Larger than the response buffer, so that the engine sees the response before it is complete. */
    private static final int SENT_BYTES = 70_000;

    private static final int PAUSE_MILLIS = 300;
    private static final int SLACK_MILLIS = 500;

    /**
     * An error response is relayed because no other server has a better one. If its backend connection then breaks, the
     * caller must see the truncation.
     */
    @Test
    public void closesTheCallersConnectionWhenAChosenErrorResponseBreaksOff() throws Exception {
        try (ScriptedServer failing = new ScriptedServer((r, c) -> {
                    ScriptedServer.write(
                            c,
                            ScriptedServer.head(r, 500) + "Content-Length: " + CONTENT_LENGTH + "\r\n\r\n"
                                    + "x".repeat(SENT_BYTES));
                    Thread.sleep(PAUSE_MILLIS);
                    return false;
                });
                ScriptedServer refusing = new ScriptedServer((r, c) -> {
                    ScriptedServer.write(
                            c,
                            ScriptedServer.head(r, 503) + "Hyssophitch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                    return true;
                });
                DataPath path = new DataPath(DataPath.LIMITS, failing, refusing)) {
            refusing.setLoad("1,0,3,100");
            String response = "";
            // On a busy machine the load reports may arrive late, and the other server be chosen first.
            for (int i = 0;
                    i < 20
                            && (refusing.requests().isEmpty()
                                    || failing.requests().isEmpty());
                    i++) {
                response = path.exchange(DataPath.get("/s/x", "s" + i), 1);
            }

            assertTrue(response.startsWith("HTTP/1.1 500"), response.substring(0, Math.min(100, response.length())));
            assertTrue(response.length() < CONTENT_LENGTH, "the response looks complete");
            assertFalse(response.endsWith("<quiet>"), "the caller's connection stayed open");
        }
    }

    /** Guards against an error response that broke off while it was kept, and was begun later and never ended. */
    @Test
    public void errorResponseThatHasBrokenOffIsNotBegun() throws Exception {
        try (ScriptedServer failing = new ScriptedServer((r, c) -> {
                    ScriptedServer.write(
                            c,
                            ScriptedServer.head(r, 500) + "Content-Length: " + CONTENT_LENGTH + "\r\n\r\n"
                                    + "x".repeat(SENT_BYTES));
                    Thread.sleep(PAUSE_MILLIS / 3);
                    return false;
                });
                ScriptedServer breaking = new ScriptedServer((r, c) -> {
                    Thread.sleep(PAUSE_MILLIS);
                    return false;
                });
                DataPath path = new DataPath(DataPath.LIMITS, failing, breaking)) {
            breaking.setLoad("1,0,3,100");
            boolean hasRetried = false;
            // On a busy machine the load reports may arrive late, and the other server be chosen first.
            for (int i = 0; i < 20 && !hasRetried; i++) {
                failing.requests().clear();
                breaking.requests().clear();
                String response = path.exchange(DataPath.get("/s/x", "s" + i), 1);
                hasRetried =
                        !failing.requests().isEmpty() && !breaking.requests().isEmpty();
                assertFalse(response.endsWith("<quiet>"), "the caller waits for the rest of a response");
            }
            assertTrue(hasRetried, "no request reached both servers");
        }
    }

    /** Guards against a caller that waits past its route's timeout for the rest of a response that has gone silent. */
    @Test
    public void responseThatFallsSilentEndsAtTheTimeoutOfItsRoute() throws Exception {
        CountDownLatch end = new CountDownLatch(1);
        try (ScriptedServer silent = new ScriptedServer((r, c) -> {
                    ScriptedServer.write(
                            c,
                            ScriptedServer.head(r, 200) + "Content-Length: " + CONTENT_LENGTH + "\r\n\r\n"
                                    + "x".repeat(SENT_BYTES));
                    end.await();
                    return false;
                });
                DataPath path = new DataPath(DataPath.LIMITS, silent)) {
            long startNanos = System.nanoTime();
            String response = path.exchange(DataPath.get("/s/x", "s1"), 1);
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            end.countDown();
            assertTrue(response.startsWith("HTTP/1.1 200"), response.substring(0, Math.min(100, response.length())));
            assertFalse(response.endsWith("<quiet>"), "the caller's connection stayed open");
            assertTrue(millis < DataPath.ROUTE_TIMEOUT_MILLIS + SLACK_MILLIS, millis + " ms");
        }
    }

    /** A response that goes on arriving is worth the wait. */
    @Test
    public void responseThatArrivesSlowlyIsRelayedPastTheTimeoutOfItsRoute() throws Exception {
        int pieces = 40;
        try (ScriptedServer slow = new ScriptedServer((r, c) -> {
                    ScriptedServer.write(
                            c,
                            ScriptedServer.head(r, 200) + "Content-Length: " + (SENT_BYTES + pieces) + "\r\n\r\n"
                                    + "x".repeat(SENT_BYTES));
                    for (int i = 0; i < pieces; i++) {
                        Thread.sleep(PAUSE_MILLIS / 6);
                        ScriptedServer.write(c, "x");
                    }
                    return true;
                });
                DataPath path = new DataPath(DataPath.LIMITS, slow)) {
            String response = path.exchange(DataPath.get("/s/x", "s1"), 1);
            assertTrue(response.endsWith("x".repeat(SENT_BYTES + pieces)), response.length() + " bytes");
        }
    }

    /** After a server registers under its name at a new address, the old address gets no requests. */
    @Test
    public void sendsRequestsOnlyToTheNewAddressOfAServer() throws Exception {
        try (ScriptedServer before = new ScriptedServer(ScriptedServer.ok("before"));
                ScriptedServer after = new ScriptedServer(ScriptedServer.ok("after"));
                DataPath path = new DataPath(DataPath.LIMITS, before)) {
            assertTrue(path.exchange(DataPath.get("/s/x", "s1"), 1).endsWith("before"));
            path.reregister(before, after);
            for (int i = 2; i < 6; i++) {
                String response = path.exchange(DataPath.get("/s/x", "s" + i), 1);
                assertTrue(response.endsWith("after"), response);
            }
            assertEquals(before.requests().size(), 1);
            assertEquals(before.openConnections(), 0);
        }
    }
}
