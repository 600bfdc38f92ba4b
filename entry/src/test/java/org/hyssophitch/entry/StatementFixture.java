package org.hyssophitch.entry;

import java.io.IOException;

import static org.testng.Assert.assertTrue;

/** Fixture for tests of what happens after a backend server has stated something about itself in an answer. */
abstract class StatementFixture {

    static final int REQUESTS = 30;
    static final int WAIT_MILLIS = 1_200;

    static void assertRefusedAtOnce(DataPath path) throws IOException {
        long start = System.nanoTime();
        String answer = get(path, "second");
        assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
        assertTrue(answer.toLowerCase().contains("retry-after: "), answer);
        assertTrue(millisSince(start) < 50, millisSince(start) + " ms");
    }

    static ScriptedServer.Script ok(String header) {
        String line = header.isEmpty() ? "" : header + "\r\n";
        return (r, c) -> {
            ScriptedServer.write(c, ScriptedServer.head(r, 200) + line + "Content-Length: 1\r\n\r\nx");
            return true;
        };
    }

    static ScriptedServer.Script refuse() {
        return (r, c) -> {
            String head = ScriptedServer.head(r, 503).replace("Hyssophitch-Response-Signature: s\r\n", "");
            ScriptedServer.write(
                    c,
                    head + "Hyssophitch-Not-Executed: 1\r\nRetry-After: " + WAIT_MILLIS / 1_000.0
                            + "\r\nContent-Length: 0\r\n\r\n");
            return true;
        };
    }

    static void sendUntilAsked(DataPath path, ScriptedServer server) throws IOException {
        sendUntilAsked(path, server, 0);
    }

    static void sendUntilAsked(DataPath path, ScriptedServer server, int more) throws IOException {
        for (int i = 0; i < 200 && server.requests().size() <= more; i++) {
            get(path, "until-" + more + '-' + i);
        }
        assertTrue(server.requests().size() > more, "never asked");
    }

    /** Sends requests one after the other; returns how many succeeded. */
    static int sendAll(DataPath path) throws IOException {
        int succeeded = 0;
        for (int i = 0; i < REQUESTS; i++) {
            succeeded += get(path, "all-" + i).startsWith("HTTP/1.1 200") ? 1 : 0;
        }
        return succeeded;
    }

    static String get(DataPath path, String id) throws IOException {
        return path.exchange(DataPath.get("/s/x", id), 1);
    }

    static long millisSince(long startNanos) {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }
}
