package org.hyssophitch.core.store;

import java.util.SplittableRandom;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** What proves that a view is complete, and for how long that holds. */
public class ViewLeaseTest {

    private static final long SECOND = 1_000_000;
    /** Age in microseconds at which a view is too old for a change to be applied in time. */
    private static final long TOO_OLD = 1_500_000;

    @Test
    public void leaseEndsInTimeOnEachHost() {
        for (int seed = 0; seed < 100; seed++) {
            ViewLease lease = new ViewLease(new SplittableRandom(seed));
            assertFalse(lease.isUsable(0), "nothing is known yet");
            lease.renew(5 * SECOND);
            lease.renew(4 * SECOND);
            assertTrue(lease.isUsable(6 * SECOND), "a proof a second is enough");
            assertEquals(lease.remainingMicros(5 * SECOND + TOO_OLD), 0);
        }
    }

    @DataProvider
    Object[][] answers() {
        return new Object[][] {
            {false, 9 * SECOND, 3 * SECOND},
            {false, 2 * SECOND, 2 * SECOND},
            {true, 9 * SECOND, SECOND}
        };
    }

    /** A host that was paused took an answer that had waited in its socket for a new one. */
    @Test(dataProvider = "answers")
    public void answerShowsNoLaterStateThanTheStoreMayHaveSent(boolean hasChanges, long receivedMicros, long expected) {
        StoreContact contact = new StoreContact();
        assertEquals(contact.onWatchAnswered(SECOND, 2 * SECOND, hasChanges, receivedMicros), expected);
    }

    /** The answer to a watch may be lost with that to another call. */
    @Test
    public void watchIsAsCurrentAsLaterAnswersUnlessACallFailed() {
        StoreContact contact = new StoreContact();
        contact.onWatchAnswered(3 * SECOND, SECOND, false, 9 * SECOND);
        assertEquals(contact.completeMicros(2 * SECOND), 4 * SECOND);
        assertTrue(contact.completeMicros(5 * SECOND) < 0, "the watch began after the answer");
        contact.onFailed(4 * SECOND);
        assertTrue(contact.completeMicros(2 * SECOND) < 0);
    }
}
