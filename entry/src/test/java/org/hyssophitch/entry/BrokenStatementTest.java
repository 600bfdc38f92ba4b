package org.hyssophitch.entry;

import java.util.stream.Stream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Guards against a server that is taken out of use by what an answer with a broken head states. */
public class BrokenStatementTest extends StatementFixture {

    private static final int MAX_TRIES = 200;
    private static final String PROBE_FIELDS = "Hyssophitch-Server-Load: 0,0,3,100\r\nContent-Length: 0\r\n\r\n";

    /** Head of an answer besides its framing, without the fields that name the request. */
    private record Head(String statusLine, String field) {

        private String to(ScriptedServer.Request r) {
            return statusLine + "\r\nHyssophitch-Request-Id: " + r.id() + "\r\nHyssophitch-Response-Signature: s\r\n"
                    + field + "\r\n";
        }

        private String toProbe() {
            return statusLine + "\r\n" + field + "\r\n";
        }
    }

    @DataProvider
    Object[][] brokenHeads() {
        return Stream.of(
                        new Head("HTTP/1.1 000 X", "Server-Leaving: 1"),
                        new Head("HTTP/1.1 2000 X", "Server-Leaving: 1"),
                        new Head("HTTP/1.1 200 X", "Server-Leaving: 1\r\nBad Name: x"),
                        new Head("HTTP/1.1 200 X", "Server-Leaving x: 1"),
                        new Head("HTTP/1.1 200 X", "Server-Leaving : 1"))
                .map(h -> new Object[] {h})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "brokenHeads")
    public void answerWithABrokenHeadStatesNothing(Head head) throws Exception {
        try (ScriptedServer s = new ScriptedServer((r, c) -> {
                    ScriptedServer.write(c, head.to(r) + "Content-Length: 1\r\n\r\nx");
                    return true;
                });
                DataPath path = new DataPath(DataPath.LIMITS, s)) {
            assertTrue(get(path, "broken").startsWith("HTTP/1.1 502"), "a broken answer was taken");
            s.setScript(ok(""));
            assertServes(path);
        }
    }

    @Test(dataProvider = "brokenHeads")
    public void healthAnswerWithABrokenHeadStatesNothing(Head head) throws Exception {
        try (ScriptedServer s = new ScriptedServer(ok(""));
                DataPath path = new DataPath(DataPath.LIMITS, s)) {
            get(path, "first");
            s.setProbeScript((r, c) -> {
                ScriptedServer.write(c, head.toProbe() + PROBE_FIELDS);
                return true;
            });
            int probes = s.probes();
            for (int i = 0; i < MAX_TRIES && s.probes() < probes + 3; i++) {
                get(path, "asked-" + i);
            }
            assertTrue(s.probes() >= probes + 3, "no probes");
            s.setProbeScript((r, c) -> {
                ScriptedServer.write(c, "HTTP/1.1 200 X\r\n" + PROBE_FIELDS);
                return true;
            });
            assertServes(path);
        }
    }

    /** A server that is leaving for good gets no requests, also later; one that isn't may be tried a little later. */
    private static void assertServes(DataPath path) throws Exception {
        String last = "";
        for (int i = 0; i < MAX_TRIES && !last.startsWith("HTTP/1.1 200"); i++) {
            last = get(path, "tried-" + i);
            Thread.sleep(10);
        }
        assertTrue(last.startsWith("HTTP/1.1 200"), last);
        assertEquals(sendAll(path), REQUESTS);
    }
}
