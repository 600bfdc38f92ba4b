package org.hyssophitch.entry;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests answers without a length, which end with their connection. */
public class UnframedAnswerTest {

    private static final int UPLOAD_BYTES = 3_900_000;
    private static final int RECEIVE_BYTES = 16_384;
    private static final int PAUSE_MILLIS = 100;
    private static final String HALF = "first half;";

    @DataProvider
    Object[][] uploads() {
        return new Object[][] {{"/s/up", UPLOAD_BYTES}, {"/u/up", UPLOAD_BYTES}, {"/s/up", 10}, {"/u/up", 10}};
    }

    /**
     * A reset that is noticed by a write, while the request's body is still being sent, must not pass for the end of
     * the answer.
     */
    @Test(dataProvider = "uploads")
    public void answerIsNotCompleteAfterAResetDuringTheUpload(String path, int bytes) throws Exception {
        ScriptedServer.Script half = (r, c) -> {
            ScriptedServer.write(c, ScriptedServer.head(r, 200) + "\r\n" + HALF);
            Thread.sleep(PAUSE_MILLIS);
            c.setSoLinger(true, 0);
            return false;
        };
        try (ScriptedServer s = new ScriptedServer(half, RECEIVE_BYTES);
                DataPath dataPath = new DataPath(DataPath.LIMITS, s)) {
            String response = upload(dataPath, path, bytes);
            assertFalse(response.startsWith("HTTP/1.1 200") && response.endsWith("0\r\n\r\n"), response);
            assertTrue(dataPath.metrics().contains("{fault=\"RESET\"}"), dataPath.metrics());
        }
    }

    /** An answer that ends with an orderly close is complete, and its connection carries no other request. */
    @Test(dataProvider = "uploads")
    public void answerIsCompleteAfterAnOrderlyClose(String path, int bytes) throws Exception {
        ScriptedServer.Script whole = (r, c) -> {
            ScriptedServer.write(c, ScriptedServer.head(r, 200) + "\r\n" + HALF);
            Thread.sleep(PAUSE_MILLIS);
            c.shutdownOutput();
            Thread.sleep(PAUSE_MILLIS);
            return bytes < UPLOAD_BYTES;
        };
        try (ScriptedServer s = new ScriptedServer(whole);
                DataPath dataPath = new DataPath(DataPath.LIMITS, s)) {
            for (int i = 0; i < 3; i++) {
                String response = upload(dataPath, path, bytes);
                assertTrue(response.startsWith("HTTP/1.1 200"), response);
                assertTrue(bytes == UPLOAD_BYTES || response.contains(HALF), response);
            }
            assertEquals(s.requests().size(), 3);
        }
    }

    /** A server that ends an idle connection in an orderly way must not get a request on it. */
    @Test
    public void idleConnectionIsClosedWhenTheServerEndsIt() throws Exception {
        ScriptedServer.Script endsAfterwards = (r, c) -> {
            ScriptedServer.ok("own").respond(r, c);
            c.shutdownOutput();
            return true;
        };
        try (ScriptedServer s = new ScriptedServer(endsAfterwards);
                DataPath dataPath = new DataPath(DataPath.LIMITS, s)) {
            for (int i = 0; i < 5; i++) {
                String response = dataPath.exchange(DataPath.post("/u/x", "u" + i, "body"), 1);
                assertTrue(response.endsWith("own"), response);
                Thread.sleep(PAUSE_MILLIS);
            }
            assertTrue(s.openConnections() <= 1, "only the connection of a load probe may be left");
        }
    }

    private static String upload(DataPath path, String target, int bytes) throws IOException {
        try (Socket s = path.connect()) {
            Thread.startVirtualThread(() -> {
                try {
                    s.getOutputStream()
                            .write(DataPath.post(target, "id", "x".repeat(bytes))
                                    .getBytes(StandardCharsets.ISO_8859_1));
                } catch (IOException e) {
                    // The answer may come before the whole body is read.
                }
            });
            return DataPath.read(s, 1);
        }
    }
}
