package org.hyssophitch.entry;

import java.util.List;

import org.hyssophitch.core.membership.Member;

/**
 * Chooses the addresses for a caller: entry hosts of its own availability zone while enough of them run, else all.
 * Stateless.
 */
final class Directory {

    /** Hosts of a zone from which on callers of the zone are sent to them only. */
    private static final int ENOUGH_IN_ZONE = 2;
    /** Largest number of addresses in one answer. */
    private static final int MOST_ADDRESSES = 64;

    private Directory() {}

    /** Returns the addresses for a caller of the zone given. */
    static List<String> addresses(List<Member> accepting, String zone) {
        List<Member> near =
                accepting.stream().filter(m -> m.zone().equals(zone)).toList();
        List<Member> chosen = near.size() >= ENOUGH_IN_ZONE ? near : accepting;
        return chosen.stream().map(Member::proxyAddress).limit(MOST_ADDRESSES).toList();
    }
}
