package org.hyssophitch.core.retry;

/**
 * Budget that bounds further attempts within any window of time, so that the budgets of all entry hosts sum up to one
 * bound for the whole system. Not thread-safe; owned by the call engine.
 *
 * <p>In any window a host sends at most {@code ratio} times the calls that arrived at it in that window, plus its part
 * of an allowance that doesn't depend on load. A process that starts gets that part over the course of one window, so
 * that restarts gain nothing.
 */
public final class SlidingWindowBudget implements AttemptBudget {

    private static final int BUCKETS = 40;

    private double ratio;
    private final long bucketMicros;
    private final long startMicros;
    private final int[] calls = new int[BUCKETS];
    private final int[] spent = new int[BUCKETS];
    private double allowance;
    private long bucket;

    /**
     * Creates a budget.
     *
     * @param ratio further attempts per call
     * @param allowance further attempts per window whatever the load
     * @param windowMicros length of the window in microseconds
     * @param nowMicros time at which the process started
     */
    public SlidingWindowBudget(double ratio, double allowance, long windowMicros, long nowMicros) {
        this.ratio = ratio;
        this.allowance = allowance;
        // One bucket more than the window needs, so that attempts of a partly passed bucket still count.
        this.bucketMicros = Math.max(1, windowMicros / (BUCKETS - 1));
        this.startMicros = nowMicros;
        this.bucket = nowMicros / bucketMicros;
    }

    /**
     * Changes this host's part of the limits; what was spent already counts on.
     *
     * @param newRatio further attempts per call
     * @param newAllowance further attempts per window whatever the load
     */
    public void setLimits(double newRatio, double newAllowance) {
        ratio = newRatio;
        allowance = newAllowance;
    }

    @Override
    public void earn(long nowMicros) {
        calls[advance(nowMicros)]++;
    }

    @Override
    public boolean trySpend(long nowMicros) {
        return trySpend(1, nowMicros);
    }

    /**
     * Returns a view that spends a part of this budget only, so that the rest stays for attempts that matter more.
     *
     * @param part part of the budget that the view may use up
     */
    public AttemptBudget fraction(double fraction) {
        return new AttemptBudget() {
            @Override
            public void earn(long nowMicros) {
                // The whole budget earns once for every call.
            }

            @Override
            public boolean trySpend(long nowMicros) {
                return SlidingWindowBudget.this.trySpend(fraction, nowMicros);
            }
        };
    }

    private boolean trySpend(double part, long nowMicros) {
        int index = advance(nowMicros);
        if (sum(spent) + 1 > room(nowMicros) * part) {
            return false;
        }
        spent[index]++;
        return true;
    }

    private double room(long nowMicros) {
        double age = (double) (nowMicros - startMicros) / (bucketMicros * (BUCKETS - 1));
        return ratio * recentCalls() + allowance * Math.min(1, Math.max(0, age));
    }

    private int advance(long nowMicros) {
        long current = Math.max(bucket, nowMicros / bucketMicros);
        for (long b = Math.max(bucket + 1, current - BUCKETS + 1); b <= current; b++) {
            calls[(int) (b % BUCKETS)] = 0;
            spent[(int) (b % BUCKETS)] = 0;
        }
        bucket = current;
        return (int) (current % BUCKETS);
    }

    /** Leaves the oldest bucket out, whose calls have partly left the window; attempts count until they all have. */
    private int recentCalls() {
        return sum(calls) - calls[(int) ((bucket + 1) % BUCKETS)];
    }

    private static int sum(int[] values) {
        int total = 0;
        for (int v : values) {
            total += v;
        }
        return total;
    }
}
