package org.hyssophitch.entry;

import org.hyssophitch.wire.concurrent.Pause;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests what happens after a backend server has said in a 503 that it wants nothing for a time, over real sockets. */
public class WaitStatementTest extends StatementFixture {

    /** A server that asked for a pause got further requests and load probes in it. */
    @Test
    public void serverGetsRequestsWhileItWantsNone() throws Exception {
        try (ScriptedServer waiting = new ScriptedServer(refuse());
                ScriptedServer other = new ScriptedServer(ok(""));
                DataPath path = new DataPath(DataPath.LIMITS, waiting, other)) {
            sendUntilAsked(path, waiting);
            long start = System.nanoTime();
            int asked = waiting.requests().size();
            int probes = waiting.probes();
            assertEquals(sendAll(path), REQUESTS);
            assertTrue(millisSince(start) < WAIT_MILLIS, "too slow to tell");
            assertEquals(waiting.requests().size(), asked);
            assertEquals(waiting.probes(), probes);
            waiting.setScript(ok(""));
            Pause.millis(2 * WAIT_MILLIS);
            sendUntilAsked(path, waiting, asked);
        }
    }

    /** Callers waited for servers that wanted nothing, up to the end of their own time. */
    @Test
    public void callersAreTurnedAwayAtOnceWhenAllServersWantNothing() throws Exception {
        try (ScriptedServer waiting = new ScriptedServer(refuse());
                DataPath path = new DataPath(DataPath.LIMITS, waiting)) {
            get(path, "first");
            assertRefusedAtOnce(path);
            assertEquals(waiting.requests().size(), 1);
        }
    }
}
