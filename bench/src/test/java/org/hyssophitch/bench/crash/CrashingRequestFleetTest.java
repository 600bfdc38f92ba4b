package org.hyssophitch.bench.crash;

import java.util.stream.Stream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** A request that has crashed three servers reaches hardly any more, in whatever fleet and whatever else happens. */
public class CrashingRequestFleetTest {

    /** Retries after the third crash that the users tolerate. */
    private static final int TOLERATED_RETRIES = 3;

    @DataProvider
    public Object[][] fleets() {
        return Stream.of(CrashPlan.Faults.values())
                .flatMap(f -> Stream.of(new CrashPlan(13, 8, f), new CrashPlan(30, 14, f), new CrashPlan(118, 53, f)))
                .map(p -> new Object[] {p})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "fleets")
    public void requestThatCrashedThreeServersIsSentOn(CrashPlan plan) {
        for (int seed = 1; seed <= 3; seed++) {
            CrashResult r = CrashRun.simulate(plan, seed);
            assertTrue(r.lateRetries() <= TOLERATED_RETRIES, "seed " + seed + ": " + r);
            assertEquals(r.refusedOthers(), 0, "seed " + seed + ": " + r);
        }
    }
}
