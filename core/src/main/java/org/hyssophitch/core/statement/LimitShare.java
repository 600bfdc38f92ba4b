package org.hyssophitch.core.statement;

import java.util.Collection;
import java.util.List;

import org.hyssophitch.core.load.RendezvousHash;

/**
 * One entry host's share of a rate limit of a backend server for all hosts together: one that the server states, or one
 * that holds while it is cold. Immutable.
 *
 * <p>Made for limits far below one request per host and second. If every host had a share, their bursts of at least one
 * request each would add up to more than the limit. So only some hosts, the owners, use a limited server: as many as
 * can have a burst of somewhat more than one request. They are chosen by a hash of the names, without coordination, in
 * the server's availability zone, whose hosts use it most. The shares of the owners add up to the limit, and the sum of
 * their bursts grows with the limit, not with the number of hosts.
 *
 * @param perSecond requests per second
 * @param burst requests at once after a pause; 0 for a host that isn't an owner
 */
public record LimitShare(double perSecond, double burst) {

    /** Share of a host that isn't an owner. */
    public static final LimitShare NONE = new LimitShare(0, 0);

    /** Smallest burst of an owner: a request, and what is saved up while the owner waits for the next one to send. */
    private static final double MIN_BURST = 1.3;
    /** Smallest number of hosts in the server's availability zone that use it alone. */
    private static final int MIN_SAME_ZONE_HOSTS = 3;
    /** Part of the limit that the hosts share to ask a server that no host has heard from for long. */
    private static final double TRIAL_FRACTION = 0.25;

    /**
     * Returns this host's share. A host that knows no other one has none: all hosts may be in this state at once, after
     * they were lost while the store was away, and would each take a whole share.
     *
     * @param limit the limit
     * @param server name of the server
     * @param zone availability zone of the server
     * @param hosts the entry hosts
     */
    public static LimitShare of(SharedLimit limit, String server, String zone, KnownHosts hosts) {
        if (hosts.isAloneAmongMany()) {
            return NONE;
        }
        double burst = limit.burst();
        List<String> sameZone = hosts.namesIn(zone);
        boolean isZoneUsed = sameZone.size() >= MIN_SAME_ZONE_HOSTS;
        Collection<String> candidates =
                isZoneUsed ? sameZone : hosts.zoneByHost().keySet();
        int most = (int) Math.max(1, burst / MIN_BURST);
        int owners = Math.min(isZoneUsed ? sameZone.size() : hosts.count(), most);
        boolean isOwner = RendezvousHash.owners(server, candidates, owners).contains(hosts.self());
        return isOwner ? new LimitShare(limit.perSecond() / owners, burst / owners) : NONE;
    }

    /** Returns this host's share of a stated limit in requests per second. */
    public static LimitShare of(double limitPerSecond, String server, String zone, KnownHosts hosts) {
        return of(SharedLimit.ofStated(limitPerSecond), server, zone, hosts);
    }

    /**
     * Returns the share for trials, whose answers show whether the server still states the limit.
     *
     * @param limitPerSecond the stated limit in requests per second
     * @param hosts the entry hosts
     */
    static LimitShare ofTrials(double limitPerSecond, KnownHosts hosts) {
        return new LimitShare(limitPerSecond * TRIAL_FRACTION / hosts.count(), 1);
    }
}
