package org.hyssophitch.entry;

import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests servers that write an answer once more, at the point where the next one is expected. */
public class LateCopyTest {

    private static final int CALLS = 20;

    /** Refuses the first attempt of each request, and writes the refusal once more before the answer to the second. */
    private static final class RepeatedRefusal implements ScriptedServer.Script {

        private final Map<String, Socket> refused = new ConcurrentHashMap<>();
        private final String refusalHeader;

        private RepeatedRefusal(String refusalHeader) {
            this.refusalHeader = refusalHeader;
        }

        @Override
        public boolean respond(ScriptedServer.Request r, Socket c) throws IOException, InterruptedException {
            Socket first = refused.putIfAbsent(r.id(), c);
            if (first == null) {
                ScriptedServer.write(c, refusal(r));
                return true;
            }
            if (first == c) {
                ScriptedServer.write(c, refusal(r));
            }
            return ScriptedServer.ok("own-" + r.id()).respond(r, c);
        }

        private String refusal(ScriptedServer.Request r) {
            return ScriptedServer.head(r, 503) + refusalHeader + "Content-Length: 0\r\n\r\n";
        }
    }

    @DataProvider
    Object[][] paths() {
        return new Object[][] {{"/s/x"}, {"/u/x"}};
    }

    /** The attempts of a call have the same id, so that a late answer to the first one passes for one to the second. */
    @Test(dataProvider = "paths")
    public void refusalOfAnEarlierAttemptIsNotTakenForTheAnswerToItsRetry(String path) throws Exception {
        try (ScriptedServer s = new ScriptedServer(new RepeatedRefusal("Hyssophitch-Not-Executed: 1\r\n"));
                DataPath dataPath = new DataPath(DataPath.LIMITS, s)) {
            for (int i = 0; i < CALLS; i++) {
                String response = dataPath.exchange(DataPath.post(path, "id-" + i, "x"), 1);
                boolean hasRun = s.requests().size() > 2 * i + 1;
                assertTrue(!hasRun || response.endsWith("own-id-" + i), response);
                assertEquals(s.requests().size(), 2 * i + 2, "attempts, two for each call");
            }
        }
    }
}
