package org.hyssophitch.core.admission;

import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Forecast of how long a waiting call of one service waits on this entry host. Not thread-safe; confined to the call
 * engine.
 *
 * <p>Rule: after calls have been waiting without interruption for {@value #ONSET_MICROS} us, a call is rejected if its
 * place in the order, divided by the rate at which waiting calls have been placed since, exceeds the time it may still
 * wait. The first call in the order is never rejected, so that any room that turns up is used.
 *
 * <p>The rate counts only placements while calls wait, because in calm times it is the rate of arrivals and says
 * nothing about capacity. For a call of some priority it counts only placements of calls that are at most as urgent:
 * those that are more urgent go first also when they arrive later.
 */
public final class WaitForecast {

    /**
     * Time for which calls have to wait without interruption before the forecast is used. Shorter waits are those for a
     * round of load probes, or for one busy moment of the servers.
     */
    static final long ONSET_MICROS = 150_000;

    /** Time constant of the decay of the counted placements: a few times the duration of common calls. */
    private static final double DECAY_MICROS = 1_000_000;

    /** Number of decayed placements of a priority below which they are forgotten. */
    private static final double MIN_PLACEMENTS = 0.001;

    private static final long CALM = -1;

    private long busySinceMicros = CALM;
    private long updatedMicros;
    /** Decayed number of placements by priority. */
    private final NavigableMap<Integer, Double> placements = new TreeMap<>();

    private double observedMicros;

    /** Records at the given time whether calls are waiting; called at each change. */
    public void onQueueLength(int length, long nowMicros) {
        if (length == 0) {
            busySinceMicros = CALM;
        } else if (busySinceMicros == CALM) {
            busySinceMicros = nowMicros;
            updatedMicros = nowMicros;
            placements.clear();
            observedMicros = 0;
        }
    }

    /** Records that a server has taken a waiting call. */
    public void onPlaced(int priority, long nowMicros) {
        if (busySinceMicros != CALM) {
            decayTo(nowMicros);
            placements.merge(priority, 1.0, Double::sum);
        }
    }

    /** Returns whether calls have been waiting long enough for a forecast. */
    public boolean isReady(long nowMicros) {
        return busySinceMicros != CALM && nowMicros - busySinceMicros >= ONSET_MICROS;
    }

    /** Returns the rate at which waiting calls of a priority, or less urgent ones, are placed per microsecond. */
    public double rate(int priority, long nowMicros) {
        decayTo(nowMicros);
        double seen = placements.tailMap(priority, true).values().stream()
                .mapToDouble(p -> p)
                .sum();
        // One placement more than seen, so that a service is not given up because nothing was placed for a moment.
        return (seen + 1) / Math.max(ONSET_MICROS, observedMicros);
    }

    /**
     * Returns the expected wait in microseconds.
     *
     * @param priority priority of the call; 0 is the highest
     * @param place place of the call in the order, from 1
     */
    public long expectedWaitMicros(int priority, int place, long nowMicros) {
        return (long) (place / rate(priority, nowMicros));
    }

    /**
     * Returns whether a call should be rejected now.
     *
     * @param priority priority of the call; 0 is the highest
     * @param place place of the call in the order, from 1
     * @param mayWaitMicros time in microseconds that the call may still wait
     */
    public boolean isWaitTooLong(int priority, int place, long mayWaitMicros, long nowMicros) {
        return place > 1 && isReady(nowMicros) && expectedWaitMicros(priority, place, nowMicros) > mayWaitMicros;
    }

    private void decayTo(long nowMicros) {
        long elapsed = Math.max(0, nowMicros - updatedMicros);
        double weight = Math.exp(-elapsed / DECAY_MICROS);
        placements.replaceAll((priority, placed) -> placed * weight);
        placements.values().removeIf(placed -> placed < MIN_PLACEMENTS);
        // The observed time decays with the placements, so that their ratio stays a mean rate.
        observedMicros = observedMicros * weight + DECAY_MICROS * (1 - weight);
        updatedMicros = nowMicros;
    }
}
