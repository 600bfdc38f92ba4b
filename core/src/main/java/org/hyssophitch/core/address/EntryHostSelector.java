package org.hyssophitch.core.address;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;

import org.hyssophitch.core.configuration.AddressRule;
import org.hyssophitch.core.membership.Member;

/**
 * Selects the entry hosts that a caller is told to use. Not thread-safe; owned by the agent engine.
 *
 * <p>Hosts of the caller's availability zone come first while they have room; the last address is of another zone
 * where there is one, so that a caller survives the loss of its zone with the answer it keeps. Within a group the order
 * is random, so that load evens out although callers keep answers for long.
 */
public final class EntryHostSelector {

    /** Calls in flight at a proxy from which on it has no room for callers of its zone by preference. */
    private static final int FULL_CALLS_IN_FLIGHT = 400;

    private final RandomGenerator random;

    /**
     * Creates an advisor.
     *
     * @param random seeded source of randomness
     */
    public EntryHostSelector(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Returns the entry hosts to use, the best first.
     *
     * @param members all known members
     * @param zone availability zone of the caller, or empty
     * @param rule how many to return
     */
    public List<Member> select(Collection<Member> members, String zone, AddressRule rule) {
        List<Member> usable = shuffle(
                members.stream().filter(m -> m.isLive() && m.isAccepting()).toList());
        List<Member> near = usable.stream().filter(m -> isNear(m, zone)).toList();
        List<Member> far = usable.stream().filter(m -> !isNear(m, zone)).toList();
        int nearCount = far.isEmpty() ? rule.addressesPerAnswer() : Math.max(1, rule.addressesPerAnswer() - 1);
        List<Member> advised = new ArrayList<>(near.stream().limit(nearCount).toList());
        far.stream().limit(rule.addressesPerAnswer() - advised.size()).forEach(advised::add);
        return advised;
    }

    private static boolean isNear(Member m, String zone) {
        return m.zone().equals(zone) && m.callsInFlight() < FULL_CALLS_IN_FLIGHT;
    }

    private List<Member> shuffle(List<Member> list) {
        List<Member> shuffled = new ArrayList<>(list);
        for (int i = shuffled.size() - 1; i > 0; i--) {
            Collections.swap(shuffled, i, random.nextInt(i + 1));
        }
        return shuffled;
    }
}
