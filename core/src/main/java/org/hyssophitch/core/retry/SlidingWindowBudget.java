package org.hyssophitch.core.retry;

/**
 * Budget of extra attempts over a sliding window. The budgets of all entry hosts add up to one limit for the whole
 * system. Not thread-safe; confined to the call engine.
 *
 * <p>In any window, a host sends at most {@code ratio} times as many extra attempts as calls arrived at it in that
 * window, plus its share of an allowance that doesn't depend on the load. A new process gets this allowance gradually
 * over its first window, so a restart gains nothing.
 */
public final class SlidingWindowBudget implements AttemptBudget {

    private static final int BUCKET_COUNT = 40;

    private double ratio;
    private final long bucketMicros;
    private final long startMicros;
    private final int[] calls = new int[BUCKET_COUNT];
    private final int[] attempts = new int[BUCKET_COUNT];
    private double allowance;
    private long currentBucket;

    /**
     * Creates a budget.
     *
     * @param ratio extra attempts per call
     * @param allowance extra attempts per window regardless of the load
     * @param windowMicros length of the window in microseconds
     * @param nowMicros start time of the process in microseconds
     */
    public SlidingWindowBudget(double ratio, double allowance, long windowMicros, long nowMicros) {
        this.ratio = ratio;
        this.allowance = allowance;
        // One bucket more than the window needs, so that attempts in a partly expired bucket still count.
        this.bucketMicros = Math.max(1, windowMicros / (BUCKET_COUNT - 1));
        this.startMicros = nowMicros;
        this.currentBucket = nowMicros / bucketMicros;
    }

    /**
     * Changes this host's share of the limits; attempts already sent in the window still count.
     *
     * @param newRatio extra attempts per call
     * @param newAllowance extra attempts per window regardless of the load
     */
    public void setLimits(double newRatio, double newAllowance) {
        ratio = newRatio;
        allowance = newAllowance;
    }

    @Override
    public void deposit(long nowMicros) {
        calls[advanceTo(nowMicros)]++;
    }

    @Override
    public boolean tryWithdraw(long nowMicros) {
        return tryWithdraw(1, nowMicros);
    }

    /**
     * Returns a view of this budget that allows attempts only up to a fraction of the limit, which
     * reserves the rest for more important attempts.
     *
     * @param fraction fraction of the limit up to which the view allows attempts
     */
    public AttemptBudget fraction(double fraction) {
        return new AttemptBudget() {
            @Override
            public void deposit(long nowMicros) {
                // The underlying budget is already credited for each call.
            }

            @Override
            public boolean tryWithdraw(long nowMicros) {
                return SlidingWindowBudget.this.tryWithdraw(fraction, nowMicros);
            }
        };
    }

    private boolean tryWithdraw(double fraction, long nowMicros) {
        int index = advanceTo(nowMicros);
        if (sum(attempts) + 1 > limit(nowMicros) * fraction) {
            return false;
        }
        attempts[index]++;
        return true;
    }

    private double limit(long nowMicros) {
        double age = (double) (nowMicros - startMicros) / (bucketMicros * (BUCKET_COUNT - 1));
        return ratio * recentCalls() + allowance * Math.min(1, Math.max(0, age));
    }

    private int advanceTo(long nowMicros) {
        long current = Math.max(currentBucket, nowMicros / bucketMicros);
        for (long b = Math.max(currentBucket + 1, current - BUCKET_COUNT + 1); b <= current; b++) {
            calls[(int) (b % BUCKET_COUNT)] = 0;
            attempts[(int) (b % BUCKET_COUNT)] = 0;
        }
        currentBucket = current;
        return (int) (current % BUCKET_COUNT);
    }

    /**
     * Counts the calls without the oldest bucket, some of whose calls have left the window. Attempts in that bucket
     * still count, so that the limit holds for any window.
     */
    private int recentCalls() {
        return sum(calls) - calls[(int) ((currentBucket + 1) % BUCKET_COUNT)];
    }

    private static int sum(int[] values) {
        int total = 0;
        for (int v : values) {
            total += v;
        }
        return total;
    }
}
