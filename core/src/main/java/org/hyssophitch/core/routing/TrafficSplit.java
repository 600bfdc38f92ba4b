package org.hyssophitch.core.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.hyssophitch.core.configuration.Route;
import org.hyssophitch.core.configuration.Route.Destination;

/**
 * Splits the requests of each route among its destinations by weight. Not thread-safe; confined to one thread.
 *
 * <p>Successive requests use the points of a low-discrepancy sequence, so that even a few requests come close to the
 * weights. Each host starts at a random point, so that the hosts don't choose in lockstep.
 */
public final class TrafficSplit {

    /** Fractional part of the golden ratio, whose multiples modulo 1 are distributed most evenly. */
    private static final double GOLDEN_RATIO_STEP = 0.6180339887498949;

    private final RandomGenerator random;
    private final Map<List<Destination>, Double> lastPoints = new HashMap<>();

    /**
     * Creates a traffic split without any state.
     *
     * @param random seeded source of randomness
     */
    public TrafficSplit(RandomGenerator random) {
        this.random = random;
    }

    /** Restarts the sequences of all routes; to be called when a new configuration takes effect. */
    public void reset() {
        lastPoints.clear();
    }

    /** Returns the name of the destination service for the next request of a route. */
    public String next(Route route) {
        List<Destination> destinations = route.destinations();
        if (destinations.size() == 1) {
            return destinations.get(0).service();
        }
        double point = lastPoints.merge(destinations, random.nextDouble(), (p, drawn) -> (p + GOLDEN_RATIO_STEP) % 1);
        double total = destinations.stream().mapToInt(Destination::weight).sum();
        double cumulativeWeight = 0;
        for (Destination d : destinations) {
            cumulativeWeight += d.weight() / total;
            if (point < cumulativeWeight) {
                return d.service();
            }
        }
        return destinations.get(destinations.size() - 1).service();
    }
}
