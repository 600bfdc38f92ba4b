package org.hyssophitch.entry.soak;

import java.nio.file.Path;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/** Short soaks of three hosts with stops and other disruptions; {@link SoakMain} runs long ones. */
public class SoakTest {

    private static final long DURATION_MILLIS = 20_000;

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}};
    }

    /** Guards against rules that break only when stops meet faults of servers, store or processes. */
    @Test(dataProvider = "seeds")
    public void rulesHoldWhileHostsStopAndServersMisbehave(long seed) throws Exception {
        Path directory = HostCommand.root().resolve("target/soak/test-seed-" + seed);
        SoakResult result = new Soak(SoakPlanner.smallPlan(seed, DURATION_MILLIS), directory).run();
        System.out.println(result.verdict());
        assertTrue(result.isHeld(), result.verdict() + "; see " + directory.resolve("report.txt"));
    }
}
