package org.hyssophitch.core.routing;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.hyssophitch.core.load.RendezvousHash;

/**
 * The servers of one service that one entry host uses. Immutable.
 *
 * <p>Made for large fleets: if every host used every server, each would reach a server only every few seconds, over a
 * new connection each time and with an outdated load report. So each host uses a part of them, chosen by a hash of both
 * names. A change of the servers changes the subset by just the servers concerned, and all servers are used by about as
 * many hosts.
 */
public final class ServerSubset {

    /** Maximum number of servers in the host's own availability zone. */
    private static final int MAX_SAME_ZONE = 12;
    /** Maximum number of servers in the other availability zones. */
    private static final int MAX_OTHER_ZONES = 16;

    private final String zone;
    private final List<String> candidates;
    private final Set<String> names;
    private final double sameZoneFraction;
    private final double otherZonesFraction;

    private ServerSubset(
            String zone,
            List<String> candidates,
            Set<String> names,
            double sameZoneFraction,
            double otherZonesFraction) {
        this.zone = zone;
        this.candidates = candidates;
        this.names = Set.copyOf(names);
        this.sameZoneFraction = sameZoneFraction;
        this.otherZonesFraction = otherZonesFraction;
    }

    /**
     * Chooses a subset.
     *
     * @param host name of the entry host
     * @param zone its availability zone
     * @param servers all servers of the service
     */
    public static ServerSubset of(String host, String zone, List<ServerState> servers) {
        List<String> sameZone = names(servers, s -> isUsable(s) && isIn(zone, s));
        List<String> otherZones = names(servers, s -> isUsable(s) && !isIn(zone, s));
        Set<String> chosen = Stream.concat(
                        RendezvousHash.owners(host, sameZone, MAX_SAME_ZONE).stream(),
                        RendezvousHash.owners(host, otherZones, MAX_OTHER_ZONES).stream())
                .collect(Collectors.toCollection(HashSet::new));
        return new ServerSubset(
                zone,
                names(servers, ServerSubset::isUsable),
                chosen,
                fraction(sameZone, MAX_SAME_ZONE),
                fraction(otherZones, MAX_OTHER_ZONES));
    }

    /** Returns whether this subset was chosen from the same usable servers, so that it needn't be chosen again. */
    public boolean isOf(List<ServerState> servers) {
        return candidates.equals(names(servers, ServerSubset::isUsable));
    }

    /** Returns whether the host uses the server. */
    public boolean contains(ServerState server) {
        return names.contains(server.name());
    }

    /** Returns the fraction of the servers of an availability zone that the host uses; at most 1. */
    public double fraction(String serverZone) {
        return serverZone.equals(zone) ? sameZoneFraction : otherZonesFraction;
    }

    private static boolean isUsable(ServerState s) {
        return s.isInService();
    }

    private static boolean isIn(String zone, ServerState s) {
        return s.server().zone().equals(zone);
    }

    private static List<String> names(List<ServerState> servers, Predicate<ServerState> filter) {
        return servers.stream().filter(filter).map(ServerState::name).toList();
    }

    private static double fraction(List<String> servers, int max) {
        return servers.size() <= max ? 1 : (double) max / servers.size();
    }
}
