package org.hyssophitch.core.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import org.hyssophitch.core.call.FleetLimits;
import org.hyssophitch.core.configuration.BackendServer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Which servers each host of a large fleet uses. */
public class ServerSubsetTest {

    private static final List<String> ZONES = List.of("a", "b", "c");
    private static final FleetLimits LIMITS = new FleetLimits(0.2, 200, 10_000_000, 42, 13);

    @DataProvider
    Object[][] fleets() {
        return new Object[][] {
            // hosts, servers
            {13, 8}, {19, 22}, {118, 154}, {142, 171}, {153, 36}, {300, 400},
        };
    }

    @Test
    public void usesAllServersOfASmallService() {
        List<ServerState> servers = servers(24);
        ServerSubset subset = ServerSubset.of("h1", "a", servers);
        assertTrue(servers.stream().allMatch(subset::contains));
        assertEquals(subset.fraction("a"), 1.0);
        assertEquals(subset.fraction("b"), 1.0);
    }

    @Test
    public void usesMoreOfItsOwnZoneThanItsShare() {
        List<ServerState> servers = servers(171);
        ServerSubset subset = ServerSubset.of("h1", "a", servers);
        long used = servers.stream().filter(subset::contains).count();
        long ownZone = servers.stream()
                .filter(subset::contains)
                .filter(s -> s.server().zone().equals("a"))
                .count();
        assertTrue(used < 40, used + " servers");
        assertTrue(ownZone * 3 > used, ownZone + " of " + used + " in the own zone");
    }

    /** Each server that is left out would serve nobody, however busy the others are. */
    @Test(dataProvider = "fleets")
    public void everyServerIsUsedBySeveralHosts(int hosts, int servers) {
        servers(servers).forEach(s -> {
            long users = users(hosts, servers, s);
            assertTrue(users >= 3, s.name() + " is used by " + users + " hosts");
        });
    }

    @Test(dataProvider = "fleets")
    public void aRemovedServerChangesNoOtherPlace(int hosts, int servers) {
        List<ServerState> before = servers(servers);
        List<ServerState> after = new ArrayList<>(before);
        after.remove(servers / 2);
        IntStream.range(0, hosts).forEach(h -> {
            ServerSubset old = ServerSubset.of("host-" + h, "a", before);
            ServerSubset changed = ServerSubset.of("host-" + h, "a", after);
            long lost = after.stream()
                    .filter(s -> old.contains(s) && !changed.contains(s))
                    .count();
            long gained = after.stream()
                    .filter(s -> !old.contains(s) && changed.contains(s))
                    .count();
            assertEquals(lost, 0);
            assertTrue(gained <= 1, gained + " servers gained");
        });
    }

    /** The hosts that use a server share its load probes, so their shares add up to the limit at most. */
    @Test(dataProvider = "fleets")
    public void loadProbesOfAllUsersStayWithinServerLimit(int hosts, int servers) {
        List<ServerState> all = servers(servers);
        double[] sums = new double[servers];
        IntStream.range(0, hosts).forEach(h -> {
            String zone = ZONES.get(h % 3);
            ServerSubset subset = ServerSubset.of("host-" + h, zone, all);
            IntStream.range(0, servers)
                    .filter(i -> subset.contains(all.get(i)))
                    .forEach(i -> sums[i] += share(hosts, zone, all.get(i), subset));
        });
        for (double sum : sums) {
            assertTrue(sum <= LIMITS.loadProbesPerSecond(), sum + " load probes per second");
        }
    }

    private static double share(int hosts, String zone, ServerState s, ServerSubset subset) {
        String serverZone = s.server().zone();
        int sameZoneHosts = (int) IntStream.range(0, hosts)
                .filter(h -> ZONES.get(h % 3).equals(serverZone))
                .count();
        return LIMITS.loadProbesPerSecondShare(
                hosts, sameZoneHosts, zone.equals(serverZone), subset.fraction(serverZone));
    }

    private static long users(int hosts, int servers, ServerState s) {
        List<ServerState> all = servers(servers);
        return IntStream.range(0, hosts)
                .filter(h -> ServerSubset.of("host-" + h, ZONES.get(h % 3), all).contains(s))
                .count();
    }

    private static List<ServerState> servers(int count) {
        return IntStream.range(0, count)
                .mapToObj(i ->
                        new BackendServer("i-" + i * 7919, "10.0.0.1", 80, ZONES.get(i % 3), 3, 220, false, "i-" + i))
                .map(b -> new ServerState(b, 2))
                .toList();
    }
}
