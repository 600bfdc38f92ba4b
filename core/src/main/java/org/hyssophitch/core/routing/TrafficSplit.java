package org.hyssophitch.core.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.hyssophitch.core.configuration.Route;
import org.hyssophitch.core.configuration.Route.Destination;

/**
 * Divides the requests of each route among its destinations by weight. Not thread-safe; one duty owns it.
 *
 * <p>Successive requests take the points of a low-discrepancy sequence, so that a few requests already come close to
 * the weights; each host starts at a random point, so that hosts don't move in step.
 */
public final class TrafficSplit {

    /** Fractional part of the golden ratio: the step whose multiples spread most evenly over the unit interval. */
    private static final double STEP = 0.6180339887498949;

    private final RandomGenerator random;
    private final Map<List<Destination>, Double> points = new HashMap<>();

    /**
     * Creates a split.
     *
     * @param random seeded source of randomness
     */
    public TrafficSplit(RandomGenerator random) {
        this.random = random;
    }

    /** Forgets routes that changed; call it when a configuration comes into force. */
    public void reset() {
        points.clear();
    }

    /** Returns the service for the next request of a route. */
    public String next(Route route) {
        List<Destination> destinations = route.destinations();
        if (destinations.size() == 1) {
            return destinations.get(0).service();
        }
        double point = points.merge(destinations, random.nextDouble(), (p, drawn) -> (p + STEP) % 1);
        double total = destinations.stream().mapToInt(Destination::weight).sum();
        double reached = 0;
        for (Destination d : destinations) {
            reached += d.weight() / total;
            if (point < reached) {
                return d.service();
            }
        }
        return destinations.get(destinations.size() - 1).service();
    }
}
