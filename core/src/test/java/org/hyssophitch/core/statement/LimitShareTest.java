package org.hyssophitch.core.statement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests that the shares of all entry hosts add up to the limit that a server states. */
public class LimitShareTest {

    private static final double WINDOW_SECONDS = 4;

    @DataProvider
    public Object[][] fleets() {
        return Stream.of(1, 5, 13, 14, 30, 150, 300)
                .flatMap(h -> Stream.of(0.1, 0.5, 2.0, 20.0, 200.0).map(l -> new Object[] {h, l}))
                .toArray(Object[][]::new);
    }

    /** With a share for each host, 150 hosts with a burst of one request each would send 150 at once. */
    @Test(dataProvider = "fleets")
    public void sharesOfAllHostsStayWithinTheBound(int hosts, double limit) {
        List<LimitShare> shares = shares(hosts, limit, all -> all);
        double rate = shares.stream().mapToDouble(LimitShare::perSecond).sum();
        double window = shares.stream()
                .mapToDouble(s -> s.burst() + s.perSecond() * WINDOW_SECONDS)
                .sum();
        assertTrue(rate <= limit + 1e-6, "rate " + rate);
        assertTrue(window <= 1.5 * limit * WINDOW_SECONDS + 5, "window " + window);
    }

    /** A limit that no host uses is lost service. */
    @Test(dataProvider = "fleets")
    public void hostsOfAWholeFleetShareTheWholeLimit(int hosts, double limit) {
        if (hosts >= 13) {
            double rate = shares(hosts, limit, all -> all).stream()
                    .mapToDouble(LimitShare::perSecond)
                    .sum();
            assertEquals(rate, limit, 1e-6);
        }
    }

    /** While a host joins, the others know it only one after the other. */
    @Test(dataProvider = "fleets")
    public void sharesStayWithinTheBoundWhileAHostJoins(int hosts, double limit) {
        SplittableRandom random = new SplittableRandom(hosts);
        List<LimitShare> shares = shares(hosts, limit, all -> {
            Map<String, String> known = new HashMap<>(all);
            if (random.nextBoolean()) {
                known.remove("h0");
            }
            return known;
        });
        double window = shares.stream()
                .mapToDouble(s -> s.burst() + s.perSecond() * WINDOW_SECONDS)
                .sum();
        assertTrue(window <= 1.5 * limit * WINDOW_SECONDS + 5, "window " + window);
    }

    /** After a loss of all hosts while the store is away, each host knows only itself. */
    @Test(dataProvider = "fleets")
    public void hostsThatKnowNoOthersTakeNoShare(int hosts, double limit) {
        double window = shares(hosts, limit, all -> Map.of()).stream()
                .mapToDouble(LimitShare::burst)
                .sum();
        assertEquals(window, 0.0);
    }

    private static List<LimitShare> shares(
            int hosts, double limit, Function<Map<String, String>, Map<String, String>> view) {
        Map<String, String> all =
                IntStream.range(0, hosts).boxed().collect(Collectors.toMap(i -> "h" + i, i -> "z" + i % 3));
        return all.keySet().stream()
                .map(h -> KnownHosts.ofSelf(h, all.get(h), 13).withOthers(view.apply(all)))
                .map(k -> LimitShare.of(limit, "s", "z1", k))
                .toList();
    }
}
