package org.hyssophitch.bench.day;

import java.util.List;

import org.hyssophitch.bench.day.DayPlan.RequestKind;
import org.hyssophitch.bench.day.DayPlan.ServiceTime;
import org.hyssophitch.core.configuration.Route;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Compares the components of a day's score with values computed by hand. */
public class DayScoreTest {

    private static final double TOLERANCE = 1e-9;
    private static final long SECOND = 1_000_000;
    private static final RequestKind LOOKUP = kind("lookup", 1, 0.1);
    private static final RequestKind BOOKING = kind("booking", 2, 0.2);

    @Test
    public void anAnswerAfterTheTargetEarnsLessCredit() {
        assertEquals(new RequestOutcome(BOOKING, 0, 200_000, true).credit(), 2.0, TOLERANCE);
        assertEquals(new RequestOutcome(BOOKING, 0, 200_001, true).credit(), 0.2, TOLERANCE);
        assertEquals(new RequestOutcome(BOOKING, 0, 1, false).credit(), 0.0, TOLERANCE);
    }

    /** Five windows with one lookup each, two of which fail, and one late booking. */
    @Test
    public void computesEachComponent() {
        List<RequestOutcome> outcomes = List.of(
                new RequestOutcome(LOOKUP, 1 * SECOND, 1_000, true),
                new RequestOutcome(LOOKUP, 5 * SECOND, 1_000, false),
                new RequestOutcome(LOOKUP, 9 * SECOND, 1_000, true),
                new RequestOutcome(LOOKUP, 13 * SECOND, 1_000, false),
                new RequestOutcome(BOOKING, 13 * SECOND, 900_000, true),
                new RequestOutcome(LOOKUP, 17 * SECOND, 1_000, true));

        DayScore score = DayScore.of(outcomes);

        assertEquals(score.worstWindows(), (0 + 0.2 / 3) / 2, TOLERANCE);
        assertEquals(score.wholeDay(), 3.2 / 7, TOLERANCE);
        assertEquals(score.served(), 4.0 / 6, TOLERANCE);
        assertEquals(score.worstKind(), 0.1, TOLERANCE);
        assertEquals(
                score.total(),
                0.4 * score.worstWindows() + 0.28 * score.wholeDay() + 0.2 * score.served() + 0.12 * score.worstKind(),
                TOLERANCE);
    }

    @Test
    public void aDayWithoutRequestsScoresZero() {
        assertEquals(DayScore.of(List.of()).total(), 0.0, TOLERANCE);
    }

    private static RequestKind kind(String name, double worth, double lateWorth) {
        Route route = new Route(
                name, "day.example", "/", true, 1_000, 200, 3, 1, List.of(new Route.Destination("service", 1)));
        return new RequestKind(route, 1, 2_000, 2, new ServiceTime(50, 0, 0, 1), worth, lateWorth);
    }
}
