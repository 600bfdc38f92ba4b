package org.hyssophitch.entry;

import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.configuration.RegisteredServer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** An action of the call engine that throws must not drop the other actions of its event, nor leave its call alone. */
public class FailingActionTest {

    private static final String REFUSED_HEADER = "first\r\nsecond: x";

    private ScriptedServer good;
    private DataPath path;

    @BeforeMethod
    public void setUp() throws Exception {
        good = new ScriptedServer(ScriptedServer.ok("good"));
        path = new DataPath(DataPath.LIMITS, good);
    }

    @AfterMethod
    public void tearDown() throws Exception {
        path.close();
        good.close();
    }

    @DataProvider
    Object[][] unusableServers() {
        return new Object[][] {
            {new BackendServer("a-port-above-range", "127.0.0.1", 70_000, "z1", 3, 100, false, "a")},
            {new BackendServer("a-negative-port", "127.0.0.1", -1, "z1", 3, 100, false, "a")},
        };
    }

    @Test(dataProvider = "unusableServers")
    public void otherServersAreUsedBesideOneThatCannotBeConnectedTo(BackendServer unusable) throws Exception {
        path.register(new RegisteredServer("svc", unusable, 0), registered("z-good"));
        for (int i = 0; i < 20; i++) {
            String answer = path.exchange(DataPath.get("/s/x", "id" + i), 1);
            assertTrue(answer.endsWith("good"), "request " + i + ": " + answer);
        }
    }

    @Test(dataProvider = "unusableServers")
    public void callWithoutAnotherServerIsAnsweredBeforeItsDeadline(BackendServer unusable) throws Exception {
        path.register(new RegisteredServer("svc", unusable, 0));
        String answer = path.exchange(DataPath.get("/s/x", "id"), 1);
        assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
        assertEquals(path.dispatcher().activeCalls(), 0);
    }

    /** The instance id goes into a header; one with a line break is refused when the request's head is written. */
    @Test
    public void callIsAnsweredWhenItsRequestCannotBeWritten() throws Exception {
        BackendServer b =
                new BackendServer("bad-instance", "127.0.0.1", good.port(), "z1", 3, 100, false, REFUSED_HEADER);
        path.register(new RegisteredServer("svc", b, 0));
        String answer = path.exchange(DataPath.post("/u/x", "id", "body"), 1);
        assertTrue(answer.startsWith("HTTP/1.1 50"), answer);
        assertTrue(!answer.startsWith("HTTP/1.1 504"), answer);
        assertEquals(path.dispatcher().activeCalls(), 0);
    }

    private RegisteredServer registered(String name) {
        return new RegisteredServer(
                "svc", new BackendServer(name, "127.0.0.1", good.port(), "z1", 3, 100, false, name), 0);
    }
}
