package org.hyssophitch.entry;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests requests whose caller waits for an interim response before it sends the body. */
public class ExpectContinueTest {

    private static final String CONTINUE = "HTTP/1.1 100";
    private static final int PART_BYTES = 100_000;

    /** Whether the answer to the request before is being relayed when the interim response is due. */
    @DataProvider
    Object[][] earlierAnswers() {
        return new Object[][] {{false}, {true}};
    }

    /** The interim response left before the answer to an earlier request, or was lost in the middle of that answer. */
    @Test(dataProvider = "earlierAnswers")
    public void interimResponseFollowsTheAnswersToEarlierRequests(boolean isRelaying) throws Exception {
        try (ScriptedServer s = new ScriptedServer((r, c) -> respond(r, c, isRelaying));
                DataPath path = new DataPath(DataPath.LIMITS, s);
                Socket c = path.connect()) {
            write(c, DataPath.get("/s/x", "first"));
            Thread.sleep(200);
            String post = DataPath.post("/u/x", "second", "body");
            int head = post.length() - "body".length();
            write(c, post.substring(0, head - 2) + "Expect: 100-continue\r\n\r\n");
            String interim = DataPath.read(c, 2);
            assertTrue(interim.startsWith("HTTP/1.1 200"), interim.substring(0, CONTINUE.length()));
            assertEquals(interim.lastIndexOf(CONTINUE), interim.lastIndexOf("HTTP/1.1"), "no interim response");
            assertTrue(DataPath.send(c, post.substring(head), 1).startsWith("HTTP/1.1 200"));
        }
    }

    private static boolean respond(ScriptedServer.Request r, Socket c, boolean isRelaying)
            throws IOException, InterruptedException {
        if (r.id().equals("first")) {
            ScriptedServer.write(c, ScriptedServer.head(r, 200) + "Content-Length: " + 2 * PART_BYTES + "\r\n\r\n");
            ScriptedServer.write(c, isRelaying ? "x".repeat(PART_BYTES) : "");
            Thread.sleep(500);
            ScriptedServer.write(c, "x".repeat(isRelaying ? PART_BYTES : 2 * PART_BYTES));
            return true;
        }
        return ScriptedServer.ok("x").respond(r, c);
    }

    private static void write(Socket c, String text) throws IOException {
        c.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }
}
