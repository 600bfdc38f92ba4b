package org.hyssophitch.core.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.hyssophitch.core.configuration.Route;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Shares of a route's destinations over many hosts that each get few requests. */
public class TrafficSplitTest {

    /** Largest deviation of a share from its weight that the users accept in a steady state. */
    private static final double MAX_DEVIATION = 0.1;

    private static final int HOSTS = 13;

    @DataProvider
    Object[][] weights() {
        return new Object[][] {{new int[] {90, 10}}, {new int[] {50, 50}}, {new int[] {1, 2, 7}}, {new int[] {100}}};
    }

    @Test(dataProvider = "weights")
    public void sharesMatchTheWeightsWithFewRequestsPerHost(int[] weights) {
        Route route = route(weights);
        Map<String, Integer> counts = new HashMap<>();
        IntStream.range(0, HOSTS)
                .mapToObj(h -> new TrafficSplit(new SplittableRandom(h)))
                .flatMap(s -> Stream.generate(() -> s.next(route)).limit(24))
                .forEach(name -> counts.merge(name, 1, Integer::sum));
        double total = IntStream.of(weights).sum();
        for (int i = 0; i < weights.length; i++) {
            double share = counts.getOrDefault("s" + i, 0) / (24.0 * HOSTS);
            assertTrue(
                    Math.abs(share - weights[i] / total) < MAX_DEVIATION / 2, "share " + share + " of " + weights[i]);
        }
        assertEquals(counts.keySet().size(), weights.length);
    }

    private static Route route(int[] weights) {
        List<Route.Destination> to = IntStream.range(0, weights.length)
                .mapToObj(i -> new Route.Destination("s" + i, weights[i]))
                .toList();
        return new Route("r", "h", "/", true, 1_000, 300, 2, 1, to);
    }
}
