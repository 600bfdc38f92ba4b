package org.hyssophitch.entry;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests what happens after a backend server has said in an answer that it is leaving, over real sockets. */
public class LeavingStatementTest extends StatementFixture {

    /** A leaving server went on to get requests until the store told of it. */
    @Test
    public void serverGetsRequestsAfterAnAnswerThatSaysItIsLeaving() throws Exception {
        try (ScriptedServer leaving = new ScriptedServer(ok("Server-Leaving: 1"));
                ScriptedServer other = new ScriptedServer(ok(""));
                DataPath path = new DataPath(DataPath.LIMITS, leaving, other)) {
            sendUntilAsked(path, leaving);
            assertEquals(sendAll(path), REQUESTS);
            assertEquals(leaving.requests().size(), 1);
        }
    }

    /** Leaving servers refuse no request that they have, but callers hear at once that nobody is left. */
    @Test
    public void callersAreTurnedAwayAtOnceWhenAllServersLeave() throws Exception {
        try (ScriptedServer leaving = new ScriptedServer(ok("Server-Leaving: 1"));
                DataPath path = new DataPath(DataPath.LIMITS, leaving)) {
            assertTrue(get(path, "first").startsWith("HTTP/1.1 200"));
            assertRefusedAtOnce(path);
            assertEquals(leaving.requests().size(), 1);
        }
    }

    @DataProvider
    public Object[][] unusable() {
        return new Object[][] {
            {"Server-Leaving: yes"},
            {"Server-Leaving: 0"},
            {"Server-Limit: -2"},
            {"Server-Limit: many"},
            {"Retry-After: 100"},
        };
    }

    /** A server must not fall out of use by a value that means nothing; a success asks nobody to wait. */
    @Test(dataProvider = "unusable")
    public void unusableStatementTakesNoServerOutOfUse(String header) throws Exception {
        try (ScriptedServer server = new ScriptedServer(ok(header));
                DataPath path = new DataPath(DataPath.LIMITS, server)) {
            assertEquals(sendAll(path), REQUESTS);
        }
    }
}
