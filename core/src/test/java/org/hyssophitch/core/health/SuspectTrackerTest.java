package org.hyssophitch.core.health;

import java.util.stream.IntStream;

import org.hyssophitch.core.health.SuspectTracker.Suspicion;
import org.hyssophitch.core.health.SuspectTracker.Verdict;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Requests that are suspected of crashing backend servers. */
public class SuspectTrackerTest {

    private static final String CRASHING = "crashing";
    /** More than half of the suspects that are kept. */
    private static final int OTHERS = 600;

    /** Each mass crash makes many other requests suspect, while the crashing one goes on crashing servers. */
    @Test
    public void crashingRequestIsForgottenDuringMassCrashes() {
        SuspectTracker tracker = SuspectTracker.strict();
        for (int crash = 0; crash < 3; crash++) {
            tracker.merge(new Suspicion(CRASHING, "s" + crash, 1, 1));
            int first = crash * OTHERS;
            IntStream.range(first, first + OTHERS)
                    .forEach(i -> tracker.merge(new Suspicion("other" + i, "t" + i, 1, 1)));
        }
        assertEquals(tracker.verdict(CRASHING, 1), Verdict.CONVICTED);
    }
}
