package org.hyssophitch.core.store;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** How hosts watch objects that change rarely but are large. */
public class WatchPacingTest {

    /** Gap in microseconds between the versions of a configuration in a storm of changes. */
    private static final long STORM_GAP_MICROS = 330_000;

    /** Several versions of a large configuration in one answer didn't fit the heap of a host. */
    @Test(dataProvider = "pacings")
    public void asksAgainBeforeASecondVersionOfAStormIsThere(WatchPacing pacing) {
        WatchPacing rare = pacing.forRareChanges();
        assertTrue(rare.batchDelayMicros() < STORM_GAP_MICROS, rare + " collects " + rare.batchDelayMicros() + " us");
        assertEquals(rare.forRareChanges(), rare);
        assertEquals(rare.isRelay(), pacing.isRelay());
    }

    @DataProvider
    Object[][] pacings() {
        return new Object[][] {{WatchPacing.ALONE}, {WatchPacing.RELAY}, {WatchPacing.RELAYED}};
    }
}
