package org.hyssophitch.core.statement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.hyssophitch.core.load.RendezvousHash;

/**
 * The entry hosts that share the limits that backend servers state, as one host knows them. Immutable.
 *
 * @param self name of this host
 * @param zoneByHost availability zones of the known hosts by name; also of those that fell silent a short time ago, as
 *     they may still send requests
 * @param minCount smallest number of hosts to assume, for a host that knows no others yet
 */
public record KnownHosts(String self, Map<String, String> zoneByHost, int minCount) {

    /** Copies the hosts. */
    public KnownHosts {
        zoneByHost = Map.copyOf(zoneByHost);
    }

    /** Returns hosts of which only this one is known. */
    public static KnownHosts ofSelf(String self, String zone, int minCount) {
        return new KnownHosts(self, Map.of(self, zone), minCount);
    }

    /** Returns these hosts with others than this one. */
    public KnownHosts withOthers(Map<String, String> others) {
        Map<String, String> all = new HashMap<>(others);
        all.put(self, zoneByHost.get(self));
        return new KnownHosts(self, all, minCount);
    }

    /** Returns these hosts with another number to assume at least, or this instance when nothing changes. */
    public KnownHosts withMinCount(int value) {
        return value == minCount ? this : new KnownHosts(self, zoneByHost, value);
    }

    /** Returns whether this host knows no other one although there are others. */
    boolean isAloneAmongMany() {
        return zoneByHost.size() == 1 && minCount > 1;
    }

    /** Returns the number of hosts to assume. */
    int count() {
        return Math.max(minCount, zoneByHost.size());
    }

    /**
     * Returns this host's place among all known ones, from 0 to 1, in an order that differs from key to key. The hosts
     * spread evenly by it what they do for a key.
     */
    double phase(String key) {
        int size = zoneByHost.size();
        List<String> order = RendezvousHash.owners(key, zoneByHost.keySet(), size);
        return (double) order.indexOf(self) / size;
    }

    /** Returns the names of the hosts in an availability zone. */
    List<String> namesIn(String zone) {
        return zoneByHost.keySet().stream()
                .filter(h -> zoneByHost.get(h).equals(zone))
                .toList();
    }
}
