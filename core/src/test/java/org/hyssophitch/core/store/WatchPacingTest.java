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
    Object[][] storeWaits() {
        return new Object[][] {
            {WatchPacing.ALONE, 8_000, 5_000, 8_000},
            {WatchPacing.RELAYED, 1_150, 5_000, 1_150},
            {WatchPacing.RELAYED, 4_000, 0, 2_000},
            {WatchPacing.RELAY, 8_000, 900, 8_000},
            {WatchPacing.RELAY, 1_000, 0, 1_000},
            {WatchPacing.RELAY, 1_000, 300, 700},
            {WatchPacing.RELAY, 1_000, 5_000, 50}
        };
    }

    /** A relay whose view was told to the others only each 2 s would have let their leases end. */
    @Test(dataProvider = "storeWaits")
    public void watchOfARelayEndsBeforeItsViewIsTooOldForTheOthers(
            WatchPacing pacing, int wantedMillis, long ageMillis, int expected) {
        assertEquals(pacing.storeWaitMillis(wantedMillis, ageMillis), expected);
    }

    @DataProvider
    Object[][] pacings() {
        return new Object[][] {{WatchPacing.ALONE}, {WatchPacing.RELAY}, {WatchPacing.RELAYED}};
    }
}
