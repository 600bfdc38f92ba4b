package org.hyssophitch.entry;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests that a request behind an answer that ends the connection isn't passed on, because it could get no answer. */
public class AnnouncedCloseTest {

    private static final String BEHIND = "behind";
    private static final int PART_BYTES = 100_000;
    /** Length of an upload whose answer the scripted server begins before it has read the body. */
    private static final int UNREAD_BODY_BYTES = 1_000_001;

    @DataProvider
    Object[][] requests() {
        String host = "Host: h.example\r\n";
        String upload = "POST /u/x HTTP/1.1\r\n" + host + "Content-Length: " + UNREAD_BODY_BYTES + "\r\n\r\n";
        return new Object[][] {
            {"asks for the close", "GET /s/x HTTP/1.1\r\n" + host + "Connection: close\r\n\r\n", ""},
            {"HTTP/1.0", "GET /s/x HTTP/1.0\r\n" + host + "\r\n", ""},
            {"HTTP/1.0, kept", "GET /s/x HTTP/1.0\r\n" + host + "Connection: keep-alive\r\n\r\n", ""},
            {"answered early", upload + "x".repeat(PART_BYTES), "x".repeat(UNREAD_BODY_BYTES - PART_BYTES)},
        };
    }

    /** The request behind was run, and its answer was discarded with the connection. */
    @Test(dataProvider = "requests")
    public void requestBehindTheLastAnswerIsNotPassedOn(String name, String request, String rest) throws Exception {
        try (ScriptedServer s = new ScriptedServer(AnnouncedCloseTest::respond);
                DataPath path = new DataPath(DataPath.LIMITS, s);
                Socket c = path.connect()) {
            write(c, request);
            c.getInputStream().read();
            write(c, rest + DataPath.get("/s/x", BEHIND));
            String response = new String(c.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertTrue(response.length() > 2 * PART_BYTES, name + ": " + response.length());
            assertFalse(s.requests().stream().anyMatch(r -> r.id().equals(BEHIND)), name + ": passed on");
        }
    }

    /** Answers in two parts without a length, so that an HTTP/1.0 answer can only end with its connection. */
    private static boolean respond(ScriptedServer.Request r, Socket c) throws IOException, InterruptedException {
        String part = Integer.toHexString(PART_BYTES) + "\r\n" + "y".repeat(PART_BYTES) + "\r\n";
        ScriptedServer.write(c, ScriptedServer.head(r, 200) + "Transfer-Encoding: chunked\r\n\r\n" + part);
        Thread.sleep(400);
        ScriptedServer.write(c, part + "0\r\n\r\n");
        return true;
    }

    private static void write(Socket c, String text) throws IOException {
        c.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }
}
