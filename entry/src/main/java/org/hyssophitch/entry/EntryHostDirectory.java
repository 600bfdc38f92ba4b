package org.hyssophitch.entry;

import java.util.List;

import org.hyssophitch.core.membership.Member;

/**
 * Selects the entry host addresses returned to a caller: those in the caller's availability zone if at least
 * {@value #MIN_HOSTS_IN_ZONE} hosts there accept requests, otherwise those in all zones. Hosts that are cut off from
 * all backend servers are left out unless all are. Stateless.
 */
final class EntryHostDirectory {

    /** Number of accepting hosts in a zone from which callers of that zone use only these hosts. */
    private static final int MIN_HOSTS_IN_ZONE = 2;
    /** Maximum number of addresses in one response. */
    private static final int MAX_ADDRESSES = 64;

    private EntryHostDirectory() {}

    /** Returns the proxy addresses for a caller in the given zone. */
    static List<String> select(List<Member> accepting, String zone) {
        List<Member> reaching = accepting.stream().filter(m -> !m.isCutOff()).toList();
        List<Member> usable = reaching.isEmpty() ? accepting : reaching;
        List<Member> inZone = usable.stream().filter(m -> m.zone().equals(zone)).toList();
        List<Member> selected = inZone.size() >= MIN_HOSTS_IN_ZONE ? inZone : usable;
        return selected.stream().map(Member::proxyAddress).limit(MAX_ADDRESSES).toList();
    }
}
