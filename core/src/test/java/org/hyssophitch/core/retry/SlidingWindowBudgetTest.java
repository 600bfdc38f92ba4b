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

/** Limit on the extra attempts within any window. */
public class SlidingWindowBudgetTest {

    private static final long WINDOW_MICROS = 10_000_000;
    private static final double RATIO = 0.2;
    private static final double ALLOWANCE = 4;

    @DataProvider
    Object[][] seeds() {
        return IntStream.range(0, 20).mapToObj(i -> new Object[] {i}).toArray(Object[][]::new);
    }

    /** Lower limits take effect at once and include the attempts sent before the change. */
    @Test
    public void loweredLimitsIncludeAttemptsAlreadySent() {
        SlidingWindowBudget budget = new SlidingWindowBudget(RATIO, ALLOWANCE, WINDOW_MICROS, 0);
        long now = 2 * WINDOW_MICROS;
        for (int i = 0; i < 100; i++) {
            budget.deposit(now);
        }
        for (int i = 0; i < 10; i++) {
            assertTrue(budget.tryWithdraw(now));
        }
        budget.setLimits(RATIO / 2, 0);
        assertFalse(budget.tryWithdraw(now));
        budget.setLimits(RATIO / 2, 1);
        assertTrue(budget.tryWithdraw(now));
        assertFalse(budget.tryWithdraw(now));
    }

    @Test(dataProvider = "seeds")
    public void neverExceedsTheLimitInAnyWindow(int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SlidingWindowBudget budget = new SlidingWindowBudget(RATIO, ALLOWANCE, WINDOW_MICROS, 0);
        Deque<Long> calls = new ArrayDeque<>();
        Deque<Long> attempts = new ArrayDeque<>();
        long now = 0;
        for (int i = 0; i < 5_000; i++) {
            now += random.nextLong(random.nextInt(10) == 0 ? 3_000_000 : 60_000);
            if (random.nextInt(3) == 0) {
                budget.deposit(now);
                calls.add(now);
            }
            boolean isGranted = budget.tryWithdraw(now);
            if (isGranted) {
                attempts.add(now);
            }
            dropExpired(calls, now);
            dropExpired(attempts, now);
            assertTrue(
                    !isGranted || attempts.size() <= RATIO * calls.size() + ALLOWANCE + 1e-9,
                    attempts.size() + " of " + calls.size());
        }
    }

    private static void dropExpired(Deque<Long> times, long now) {
        while (!times.isEmpty() && times.peek() <= now - WINDOW_MICROS) {
            times.poll();
        }
    }

    @Test
    public void grantsTheAllowanceGraduallyOverTheFirstWindow() {
        SlidingWindowBudget budget = new SlidingWindowBudget(RATIO, ALLOWANCE, WINDOW_MICROS, 0);
        assertFalse(budget.tryWithdraw(1));
        assertTrue(budget.tryWithdraw(WINDOW_MICROS / 2));
        assertTrue(budget.tryWithdraw(WINDOW_MICROS / 2));
        assertFalse(budget.tryWithdraw(WINDOW_MICROS / 2));
    }

    @Test
    public void limitsAttemptsToTheRatioOfCalls() {
        SlidingWindowBudget budget = new SlidingWindowBudget(RATIO, 0, WINDOW_MICROS, 0);
        IntStream.range(0, 100).forEach(i -> budget.deposit(i));
        long granted =
                IntStream.range(0, 100).filter(i -> budget.tryWithdraw(100 + i)).count();
        assertEquals(granted, 20);
    }
}
