package org.hyssophitch.core.entry;

import java.util.Optional;

import org.hyssophitch.core.call.CallRequest;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests which requests a stopping host takes, and when it ends. */
public class StopPlanTest {

    private static final long START_MICROS = 7_000_000;
    private static final long MICROS_PER_MILLI = 1_000;

    /** Grace period, arrival since the stop began and time to the deadline in milliseconds; whether it is taken. */
    @DataProvider
    Object[][] requests() {
        return new Object[][] {
            {6_000, 0, 30_000, true},
            {6_000, 2_499, 30_000, true},
            {6_000, 2_500, 30_000, false},
            {6_000, 2_500, 2_900, true},
            {6_000, 2_500, 2_901, false},
            {6_000, 3_100, 4_000, false},
            {6_000, 5_300, 100, true},
            {6_000, 5_400, 100, false},
            {10_000, 2_600, 8_000, false},
            {10_000, 2_600, 4_000, true},
            {1_500, 674, 30_000, true},
            {1_500, 676, 30_000, false},
        };
    }

    /** A request that a stopping host takes although it may not end in time is cut off. */
    @Test(dataProvider = "requests")
    public void takesOnlyRequestsThatEndInTimeOrArriveEarly(
            int graceMillis, int arrivalMillis, int deadlineMillis, boolean isTaken) {
        StopPlan plan = new StopPlan(START_MICROS, graceMillis);
        long now = START_MICROS + arrivalMillis * MICROS_PER_MILLI;
        assertEquals(plan.takes(call(now + deadlineMillis * MICROS_PER_MILLI), now), isTaken);
    }

    /** Callers accept that a request is cut off only if its server is at work in the last sixth of the grace period. */
    @Test
    public void finalAnswersComeInTheLastSixthAndBeforeTheExit() {
        StopPlan plan = new StopPlan(START_MICROS, 6_000);
        assertTrue(plan.finalAnswersMicros() >= START_MICROS + 5_000 * MICROS_PER_MILLI);
        assertTrue(plan.exitMicros() > plan.finalAnswersMicros());
        assertTrue(plan.exitMicros() < START_MICROS + 6_000 * MICROS_PER_MILLI);
    }

    private static CallRequest call(long deadlineMicros) {
        return new CallRequest(1, "r", "svc", true, Optional.empty(), deadlineMicros, 0, true, true, "f");
    }
}
