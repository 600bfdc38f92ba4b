package org.hyssophitch.core.retry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** The bound on further attempts within any window. */
public class SlidingWindowBudgetTest {

    private static final long WINDOW = 10_000_000;
    private static final double RATIO = 0.2;
    private static final double ALLOWANCE = 4;

    @DataProvider
    Object[][] seeds() {
        return IntStream.range(0, 20).mapToObj(i -> new Object[] {i}).toArray(Object[][]::new);
    }

    /** Limits that become narrower count at once, with what was spent before. */
    @Test
    public void grantsNothingBeyondNarrowerLimits() {
        SlidingWindowBudget budget = new SlidingWindowBudget(RATIO, ALLOWANCE, WINDOW, 0);
        long now = 2 * WINDOW;
        for (int i = 0; i < 100; i++) {
            budget.earn(now);
        }
        for (int i = 0; i < 10; i++) {
            assertTrue(budget.trySpend(now));
        }
        budget.setLimits(RATIO / 2, 0);
        assertFalse(budget.trySpend(now));
        budget.setLimits(RATIO / 2, 1);
        assertTrue(budget.trySpend(now));
        assertFalse(budget.trySpend(now));
    }

    @Test(dataProvider = "seeds")
    public void grantsNothingBeyondTheBoundOfTheWindowThatEndsThen(int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SlidingWindowBudget budget = new SlidingWindowBudget(RATIO, ALLOWANCE, WINDOW, 0);
        Deque<Long> calls = new ArrayDeque<>();
        Deque<Long> spent = new ArrayDeque<>();
        long now = 0;
        for (int i = 0; i < 5_000; i++) {
            now += random.nextLong(random.nextInt(10) == 0 ? 3_000_000 : 60_000);
            if (random.nextInt(3) == 0) {
                budget.earn(now);
                calls.add(now);
            }
            boolean isGranted = budget.trySpend(now);
            if (isGranted) {
                spent.add(now);
            }
            drop(calls, now);
            drop(spent, now);
            assertTrue(
                    !isGranted || spent.size() <= RATIO * calls.size() + ALLOWANCE + 1e-9,
                    spent.size() + " of " + calls.size());
        }
    }

    private static void drop(Deque<Long> times, long now) {
        while (!times.isEmpty() && times.peek() <= now - WINDOW) {
            times.poll();
        }
    }

    @Test
    public void givesANewProcessItsAllowanceOverTheFirstWindow() {
        SlidingWindowBudget budget = new SlidingWindowBudget(RATIO, ALLOWANCE, WINDOW, 0);
        assertFalse(budget.trySpend(1));
        assertTrue(budget.trySpend(WINDOW / 2));
        assertTrue(budget.trySpend(WINDOW / 2));
        assertFalse(budget.trySpend(WINDOW / 2));
    }

    @Test
    public void followsTheLoad() {
        SlidingWindowBudget budget = new SlidingWindowBudget(RATIO, 0, WINDOW, 0);
        IntStream.range(0, 100).forEach(i -> budget.earn(i));
        long granted =
                IntStream.range(0, 100).filter(i -> budget.trySpend(100 + i)).count();
        assertEquals(granted, 20);
    }
}
