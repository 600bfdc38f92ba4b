package org.hyssophitch.core.call;

/**
 * Smoothed time to the beginning of an answer, and its deviation, for one service. Not thread-safe.
 */
final class LatencyTracker {

    private static final double WEIGHT = 0.05;
    private static final double DEVIATIONS = 3;
    private static final double MIN_LATE_MICROS = 2_000;
    private static final double UNKNOWN_MEAN_MICROS = 10_000;

    private double mean;
    private double deviation;

    void add(double micros) {
        if (mean == 0) {
            mean = micros;
            deviation = micros / 2;
            return;
        }
        double error = micros - mean;
        mean += WEIGHT * error;
        deviation += WEIGHT * (Math.abs(error) - deviation);
    }

    /** Returns the smoothed mean in microseconds. */
    double meanMicros() {
        return mean == 0 ? UNKNOWN_MEAN_MICROS : mean;
    }

    /** Returns the time in microseconds after which an answer counts as late. */
    long lateMicros() {
        double spread = mean == 0 ? UNKNOWN_MEAN_MICROS : deviation;
        return (long) Math.max(MIN_LATE_MICROS, meanMicros() + DEVIATIONS * spread);
    }
}
