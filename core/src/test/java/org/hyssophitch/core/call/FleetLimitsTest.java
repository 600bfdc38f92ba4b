package org.hyssophitch.core.call;

import java.util.Map;
import java.util.stream.Stream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/** Tests that the shares of all entry hosts add up to no more than each fleet-wide limit. */
public class FleetLimitsTest {

    private static final FleetLimits LIMITS = new FleetLimits(0.2, 56, 10_000_000, 60, 13);

    @DataProvider
    Object[][] fleets() {
        return Stream.of(
                        Map.of("a", 5, "b", 5, "c", 3),
                        Map.of("a", 6, "b", 6, "c", 5),
                        Map.of("a", 1, "b", 1),
                        Map.of("a", 13),
                        Map.of("a", 40, "b", 44, "c", 44))
                .map(m -> new Object[] {m})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "fleets")
    public void loadProbesOfAllHostsStayWithinServerLimit(Map<String, Integer> hostsByZone) {
        int all = hostsByZone.values().stream().mapToInt(Integer::intValue).sum();
        hostsByZone.forEach((serverZone, sameZoneHosts) -> {
            double sum = hostsByZone.entrySet().stream()
                    .mapToDouble(e -> e.getValue()
                            * LIMITS.loadProbesPerSecondShare(
                                    all, sameZoneHosts, e.getKey().equals(serverZone), 1))
                    .sum();
            assertTrue(sum <= LIMITS.loadProbesPerSecond(), sum + " load probes per second");
        });
        double withoutSameZoneHosts = all * LIMITS.loadProbesPerSecondShare(all, 0, false, 1);
        assertTrue(
                withoutSameZoneHosts <= LIMITS.loadProbesPerSecond(), withoutSameZoneHosts + " load probes per second");
    }

    /**
     * After a loss of all hosts while the store is away, each host knows only itself. It can't tell its share of the
     * allowance, so it takes none; the ratio to its own calls needs no number of hosts.
     */
    @Test
    public void hostsThatKnowNoOthersExceedTheAllowanceTogether() {
        int hosts = 153;
        assertTrue(hosts * LIMITS.extraAttemptAllowanceShare(1) <= LIMITS.extraAttemptAllowance());
        assertTrue(hosts * LIMITS.extraAttemptAllowanceShare(0) <= LIMITS.extraAttemptAllowance());
    }

    @Test(dataProvider = "fleets")
    public void extraAttemptsOfAllHostsStayWithinAllowance(Map<String, Integer> hostsByZone) {
        int all = hostsByZone.values().stream().mapToInt(Integer::intValue).sum();
        assertTrue(all * LIMITS.extraAttemptAllowanceShare(all) <= LIMITS.extraAttemptAllowance());
    }
}
