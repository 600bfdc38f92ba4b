package org.hyssophitch.entry;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/** Tests what a stopping host reports about the requests that have no whole answer when it ends. */
public class StopReportTest {

    private static final String HELD = "held";

    @DataProvider
    Object[][] unfinished() {
        String held = DataPath.get("/s/x", HELD);
        String upload = "POST /u/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 9\r\n\r\n";
        return new Object[][] {
            {held, "AT_SERVER"},
            {held + DataPath.get("/s/x", "whole"), "ANSWER_WAITING"},
            {DataPath.get("/s/x", "begun"), "RELAYING"},
            {upload, "RECEIVING"},
        };
    }

    /** Without a line for each request, a log doesn't tell what a host cut off from what it never had. */
    @Test(dataProvider = "unfinished")
    public void countsEachUnfinishedRequestByItsState(String requests, String state) throws Exception {
        try (ScriptedServer s = new ScriptedServer(StopReportTest::respond);
                DataPath path = new DataPath(DataPath.LIMITS, s);
                Socket c = path.connect()) {
            c.getOutputStream().write(requests.getBytes());
            Thread.sleep(200);
            path.runOnLoop(path.front()::beginStop);
            path.runOnLoop(path.front()::reportUnfinished);
            String counter = "hyssophitch_stop_requests_total{state=\"" + state + "\"} 1.0";
            assertTrue(path.metrics().contains(counter), path.metrics());
        }
    }

    private static boolean respond(ScriptedServer.Request r, Socket c) throws IOException, InterruptedException {
        switch (r.id()) {
            case HELD -> Thread.sleep(TimeUnit.SECONDS.toMillis(1));
            case "begun" -> {
                ScriptedServer.write(c, ScriptedServer.head(r, 200) + "Content-Length: 200000\r\n\r\n");
                ScriptedServer.write(c, "x".repeat(100_000));
                Thread.sleep(TimeUnit.SECONDS.toMillis(1));
            }
            default -> {
                return ScriptedServer.ok("x").respond(r, c);
            }
        }
        return false;
    }
}
