package org.hyssophitch.core.address;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;

import org.hyssophitch.core.configuration.AddressRule;
import org.hyssophitch.core.membership.Member;

/**
 * Selects the entry hosts whose addresses are returned to a caller. Not thread-safe; owned by the agent engine.
 *
 * <p>Hosts in the caller's availability zone come first while they are below an in-flight limit. If a host in another
 * zone exists, the last address is in another zone, so that a caller with a cached answer survives the loss of its
 * zone. The order within each group is random, which balances load although callers cache answers for a long time.
 */
public final class EntryHostSelector {

    /** Number of calls in flight at which a proxy stops being preferred for callers in its own zone. */
    private static final int PREFERRED_CALLS_IN_FLIGHT_LIMIT = 400;

    private final RandomGenerator random;

    /**
     * Creates a selector.
     *
     * @param random seeded random generator
     */
    public EntryHostSelector(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Returns the entry hosts for a caller to use, in order of preference.
     *
     * @param members all known members
     * @param zone availability zone of the caller; empty if unknown
     * @param rule limits the number of addresses per answer
     */
    public List<Member> select(Collection<Member> members, String zone, AddressRule rule) {
        List<Member> available = shuffle(
                members.stream().filter(m -> m.isLive() && m.isAccepting()).toList());
        List<Member> preferred =
                available.stream().filter(m -> isPreferred(m, zone)).toList();
        List<Member> others =
                available.stream().filter(m -> !isPreferred(m, zone)).toList();
        int preferredCount = others.isEmpty() ? rule.addressesPerAnswer() : Math.max(1, rule.addressesPerAnswer() - 1);
        List<Member> selected =
                new ArrayList<>(preferred.stream().limit(preferredCount).toList());
        others.stream().limit(rule.addressesPerAnswer() - selected.size()).forEach(selected::add);
        return selected;
    }

    private static boolean isPreferred(Member m, String zone) {
        return m.zone().equals(zone) && m.callsInFlight() < PREFERRED_CALLS_IN_FLIGHT_LIMIT;
    }

    private List<Member> shuffle(List<Member> list) {
        List<Member> shuffled = new ArrayList<>(list);
        for (int i = shuffled.size() - 1; i > 0; i--) {
            Collections.swap(shuffled, i, random.nextInt(i + 1));
        }
        return shuffled;
    }
}
