package org.hyssophitch.core.routing;

import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.load.LoadReport;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Room and cost of a server by its load report and its state. */
public class LoadPlacementTest {

    private static final long NOW = 10_000_000;
    private static final long MICROS_PER_MILLI = 1_000;

    @DataProvider
    Object[][] rooms() {
        return new Object[][] {
            // slots, reported, age in ms, has room
            {3, 0, 0, true},
            {3, 1, 0, true},
            {3, 2, 0, false},
            {3, 3, 30, false},
            {3, 3, 400, true},
            {1, 0, 0, true},
            {1, 1, 0, false},
            {1, 1, 400, true},
            {8, 5, 10, true},
            {8, 6, 10, false},
        };
    }

    @Test(dataProvider = "rooms")
    public void hasRoomBelowTheKneeOrAfterTheReportHasDecayed(int slots, int reported, int age, boolean room) {
        ServerState s = server(slots, "z1");
        s.onReport(new LoadReport("s", reported, NOW - age * MICROS_PER_MILLI, false, 1));
        assertEquals(new LoadPlacement("z1", NOW, 0, LoadPlacement.DEFAULT_UTILIZATION).hasRoom(s), room);
    }

    /** An old report decays towards the usual utilization, which leaves no room if the servers are usually full. */
    @Test
    public void oldReportOfFullServerLeavesNoRoomAtHighUsualUtilization() {
        ServerState s = server(3, "z1");
        s.onReport(new LoadReport("s", 2, NOW - 400 * MICROS_PER_MILLI, false, 1));
        assertFalse(new LoadPlacement("z1", NOW, 0, 1.0).hasRoom(s));
    }

    @Test
    public void serverWithoutReportHasRoomForAnyNumberOfSlots() {
        for (int slots = 1; slots < 20; slots++) {
            assertTrue(
                    new LoadPlacement("z1", NOW, 0, LoadPlacement.DEFAULT_UTILIZATION).hasRoom(server(slots, "z1")),
                    slots + " slots");
        }
    }

    @DataProvider
    Object[][] costs() {
        return new Object[][] {
            // slowdown and zone of the cheaper server, then of the more expensive one
            {1.0, "z1", 4.0, "z1"},
            {1.0, "z2", 4.0, "z1"},
            {1.0, "z1", 1.0, "z2"},
        };
    }

    @Test(dataProvider = "costs")
    public void serverThatFinishesFirstCostsLess(double fast, String fastZone, double slow, String slowZone) {
        LoadPlacement p = new LoadPlacement("z1", NOW, 100 * MICROS_PER_MILLI, LoadPlacement.DEFAULT_UTILIZATION);
        assertTrue(p.cost(reporting(fast, fastZone)) < p.cost(reporting(slow, slowZone)));
    }

    /** A slow machine returns to its mean speed after some time, so a long call is affected less. */
    @Test
    public void slowdownCostsLessForALongCall() {
        double shortCallCost = new LoadPlacement("z1", NOW, 50 * MICROS_PER_MILLI, LoadPlacement.DEFAULT_UTILIZATION)
                .cost(reporting(4, "z1"));
        double longCallCost = new LoadPlacement("z1", NOW, 800 * MICROS_PER_MILLI, LoadPlacement.DEFAULT_UTILIZATION)
                .cost(reporting(4, "z1"));
        assertTrue(longCallCost < shortCallCost / 2, longCallCost + " and " + shortCallCost);
    }

    @Test
    public void warmingUpServerAndServerSlowerThanReportedCostMore() {
        LoadPlacement p = new LoadPlacement("z1", NOW, 0, LoadPlacement.DEFAULT_UTILIZATION);
        ServerState warmingUp = reporting(1, "z1");
        warmingUp.setWarmUpEndMicros(NOW + 1);
        ServerState slowerThanReported = reporting(1, "z1");
        for (int i = 0; i < 10; i++) {
            slowerThanReported.onLatencyRatio(6, NOW);
        }
        assertTrue(p.cost(warmingUp) > p.cost(reporting(1, "z2")));
        assertTrue(p.cost(slowerThanReported) > 2 * p.cost(reporting(1, "z2")));
    }

    private static ServerState reporting(double slowdown, String zone) {
        ServerState s = server(3, zone);
        s.onReport(new LoadReport("s", 0, NOW, false, slowdown));
        return s;
    }

    private static ServerState server(int slots, String zone) {
        return new ServerState(new BackendServer("s", "10.0.0.1", 80, zone, slots, 220, false), 10);
    }
}
