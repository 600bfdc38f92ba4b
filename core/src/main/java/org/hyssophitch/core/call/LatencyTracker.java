package org.hyssophitch.core.call;

/**
 * Moving average and deviation of one service's time to the start of a response. Not thread-safe; owned by the call
 * engine.
 */
final class LatencyTracker {

    private static final double SAMPLE_WEIGHT = 0.05;
    /** Deviations above the mean at which a response counts as late. */
    private static final double HEDGE_DELAY_DEVIATIONS = 3;

    private static final double MIN_HEDGE_DELAY_MICROS = 2_000;
    /** Assumed mean and deviation until the first sample. */
    private static final double INITIAL_MEAN_MICROS = 10_000;

    private double mean;
    private double deviation;

    void add(double micros) {
        if (mean == 0) {
            mean = micros;
            deviation = micros / 2;
            return;
        }
        double error = micros - mean;
        mean += SAMPLE_WEIGHT * error;
        deviation += SAMPLE_WEIGHT * (Math.abs(error) - deviation);
    }

    /** Returns the moving average in microseconds. */
    double meanMicros() {
        return mean == 0 ? INITIAL_MEAN_MICROS : mean;
    }

    /** Returns the time in microseconds after which a response counts as late and the call may be hedged. */
    long hedgeDelayMicros() {
        double spread = mean == 0 ? INITIAL_MEAN_MICROS : deviation;
        return (long) Math.max(MIN_HEDGE_DELAY_MICROS, meanMicros() + HEDGE_DELAY_DEVIATIONS * spread);
    }
}
