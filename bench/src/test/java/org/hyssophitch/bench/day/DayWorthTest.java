package org.hyssophitch.bench.day;

import java.util.List;

import org.hyssophitch.bench.day.DayPlan.RequestKind;
import org.hyssophitch.bench.day.DayPlan.WorkTime;
import org.hyssophitch.core.configuration.Route;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** The parts of a day's worth, worked out by hand. */
public class DayWorthTest {

    private static final double EXACT = 1e-9;
    private static final long SECOND = 1_000_000;
    private static final RequestKind LOOKUP = kind("lookup", 1, 0.1);
    private static final RequestKind BOOKING = kind("booking", 2, 0.2);

    @Test
    public void anAnswerAfterItsTargetIsWorthLess() {
        assertEquals(new DayOutcome(BOOKING, 0, 200_000, true).credit(), 2.0, EXACT);
        assertEquals(new DayOutcome(BOOKING, 0, 200_001, true).credit(), 0.2, EXACT);
        assertEquals(new DayOutcome(BOOKING, 0, 1, false).credit(), 0.0, EXACT);
    }

    /** Five windows of one lookup each, two of which fail, and a booking that is late. */
    @Test
    public void worksOutEachPart() {
        List<DayOutcome> outcomes = List.of(
                new DayOutcome(LOOKUP, 1 * SECOND, 1_000, true),
                new DayOutcome(LOOKUP, 5 * SECOND, 1_000, false),
                new DayOutcome(LOOKUP, 9 * SECOND, 1_000, true),
                new DayOutcome(LOOKUP, 13 * SECOND, 1_000, false),
                new DayOutcome(BOOKING, 13 * SECOND, 900_000, true),
                new DayOutcome(LOOKUP, 17 * SECOND, 1_000, true));

        DayWorth worth = DayWorth.of(outcomes);

        assertEquals(worth.worstWindows(), (0 + 0.2 / 3) / 2, EXACT);
        assertEquals(worth.wholeDay(), 3.2 / 7, EXACT);
        assertEquals(worth.served(), 4.0 / 6, EXACT);
        assertEquals(worth.worstKind(), 0.1, EXACT);
        assertEquals(
                worth.total(),
                0.4 * worth.worstWindows() + 0.28 * worth.wholeDay() + 0.2 * worth.served() + 0.12 * worth.worstKind(),
                EXACT);
    }

    @Test
    public void aDayWithoutRequestsIsWorthNothing() {
        assertEquals(DayWorth.of(List.of()).total(), 0.0, EXACT);
    }

    private static RequestKind kind(String name, double worth, double lateWorth) {
        Route route = new Route(
                name, "day.example", "/", true, 1_000, 200, 3, 1, List.of(new Route.Destination("service", 1)));
        return new RequestKind(route, 1, 2_000, 2, new WorkTime(50, 0, 0, 1), worth, lateWorth);
    }
}
