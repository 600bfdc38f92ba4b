package org.hyssophitch.entry;

import java.util.List;

import org.hyssophitch.core.membership.Member;

/**
 * Chooses the addresses for a caller: entry hosts of its own availability zone while enough of them run, else all.
 * Stateless.
 */
final class EntryHostDirectory {

    /** Hosts of a zone from which on callers of the zone are sent to them only. */
    private static final int MIN_HOSTS_IN_ZONE = 2;
    /** Largest number of addresses in one answer. */
    private static final int MAX_ADDRESSES = 64;

    private EntryHostDirectory() {}

    /** Returns the addresses for a caller of the zone given. */
    static List<String> select(List<Member> accepting, String zone) {
        List<Member> inZone =
                accepting.stream().filter(m -> m.zone().equals(zone)).toList();
        List<Member> selected = inZone.size() >= MIN_HOSTS_IN_ZONE ? inZone : accepting;
        return selected.stream().map(Member::proxyAddress).limit(MAX_ADDRESSES).toList();
    }
}
