package org.hyssophitch.entry;

import java.net.Socket;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests request framing: malformed or ambiguous requests are rejected, and pipelined responses keep their order. */
public class CallerFramingTest {

    private static final String HOST = "Host: h.example\r\n";

    @Test
    public void answersPipelinedRequestsInOrder() throws Exception {
        try (ScriptedServer s = new ScriptedServer((r, c) -> {
                    Thread.sleep(r.line().contains("slow") ? 150 : 0);
                    return ScriptedServer.ok(r.id()).respond(r, c);
                });
                DataPath path = new DataPath(DataPath.LIMITS, s)) {
            path.exchange(DataPath.get("/s/fast", "id-0"), 1);
            long start = System.nanoTime();
            String all = path.exchange(
                    DataPath.get("/s/slow", "id-1") + DataPath.get("/s/fast", "id-2") + DataPath.get("/s/slow", "id-3"),
                    3);
            long millis = (System.nanoTime() - start) / 1_000_000;
            assertTrue(all.indexOf("\r\n\r\nid-1") < all.indexOf("\r\n\r\nid-2"), all);
            assertTrue(all.indexOf("\r\n\r\nid-2") < all.indexOf("\r\n\r\nid-3"), all);
            assertTrue(millis < 290, "pipelined requests were not run concurrently: " + millis + " ms");
        }
    }

    @DataProvider
    Object[][] malformed() {
        return new Object[][] {
            {"POST /s/a HTTP/1.1\r\n" + HOST + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"
            },
            {"POST /s/a HTTP/1.1\r\n" + HOST + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "400"},
            {"POST /s/a HTTP/1.1\r\n" + HOST + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n", "400"},
            {"POST /s/a HTTP/1.1\r\n" + HOST + "Content-Length: -1\r\n\r\n", "400"},
            {"GET /s/a HTTP/1.1\r\n\r\n", "400"},
            {"GET /s/a HTTP/1.1\r\n" + HOST + HOST + "\r\n", "400"},
            {"GET /s/a HTTP/1.1\r\n" + HOST + "X: " + "y".repeat(3_000) + "\r\n\r\n", "431"},
            {"POST /s/a HTTP/1.1\r\n" + HOST + "Content-Length: 4000001\r\n\r\n", "413"},
            {"GET /s/a HTTP/1.1\r\n" + HOST + "X-Folded: one\r\n two\r\n\r\n", "400"},
            {"GET /s/a HTTP/1.1\r\n" + HOST + "X-Folded: one\r\n\tContent-Length: 5\r\n\r\n", "400"},
            {"GET /s/a HTTP/1.1\r\nHost: h.exa", "408"},
            {"GET /none/a HTTP/1.1\r\n" + HOST + "\r\n", "404"},
        };
    }

    @Test(dataProvider = "malformed")
    public void rejectsMalformedRequestsWithoutForwardingThem(String request, String status) throws Exception {
        try (ScriptedServer s = new ScriptedServer(ScriptedServer.ok("x"));
                DataPath path = new DataPath(DataPath.LIMITS, s)) {
            String response =
                    path.exchange(request + (status.equals("404") ? "" : DataPath.get("/s/smuggled", "z")), 1);
            if (status.equals("408")) {
                response = path.exchange(request, 1);
            }
            assertTrue(response.startsWith("HTTP/1.1 " + status), response);
            assertTrue(status.equals("404") || response.toLowerCase().contains("connection: close"), response);
            Thread.sleep(50);
            assertTrue(s.requests().stream().noneMatch(r -> r.line().contains("/s/")), "" + s.requests());
        }
    }

    /** A malformed request ends the connection only after the responses to the requests before it. */
    @Test(dataProvider = "malformed")
    public void answersEarlierRequestsBeforeRejectingAMalformedOne(String request, String status) throws Exception {
        ScriptedServer.Script slow = (r, c) -> {
            Thread.sleep(100);
            return ScriptedServer.ok("first").respond(r, c);
        };
        try (ScriptedServer s = new ScriptedServer(slow);
                DataPath path = new DataPath(DataPath.LIMITS, s)) {
            boolean isIncomplete = status.equals("408");
            String all = path.exchange(DataPath.get("/s/a", "1") + request, isIncomplete ? 1 : 2);
            assertTrue(all.contains("\r\n\r\nfirst"), all);
            assertTrue(isIncomplete || all.indexOf("HTTP/1.1 " + status) > all.indexOf("first"), all);
        }
    }

    /** The check for folded header lines must not apply to the body, however the body is split into packets. */
    @Test
    public void acceptsBodyLinesWithLeadingWhitespace() throws Exception {
        String body = "a:\r\n  b: 1\n\tc\r\n\r\n d";
        try (ScriptedServer s = new ScriptedServer(ScriptedServer.ok("x"));
                DataPath path = new DataPath(DataPath.LIMITS, s);
                Socket c = path.connect()) {
            for (char b : DataPath.post("/s/a", "1", body).toCharArray()) {
                c.getOutputStream().write(b);
            }
            assertTrue(DataPath.read(c, 1).startsWith("HTTP/1.1 200"));
            assertTrue(DataPath.send(c, DataPath.post("/s/a", "2", body), 1).startsWith("HTTP/1.1 200"));
            assertEquals(s.requests().get(1).body(), body);
        }
    }
}
