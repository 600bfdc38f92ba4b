package org.hyssophitch.core.store;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

import org.hyssophitch.core.load.RendezvousHash;
import org.hyssophitch.core.membership.Member;
import org.hyssophitch.core.membership.MemberState;

/**
 * Decides whether this host watches the store for itself, for other hosts as well, or through another host. Not
 * thread-safe; owned by the event loop.
 *
 * <p>Each call to the store has a price, and a change of an object wakes every host that watches it. In a large fleet a
 * few hosts, the relays, watch for all. Every host computes them from the members it knows, without agreement: a host
 * that is asked although it does not consider itself a relay refuses, and one whose relays fail asks the store.
 */
public final class RelaySelector {

    /** Minimum number of accepting hosts from which the calls saved outweigh those that relays make more often. */
    private static final int MIN_HOSTS = 16;
    /** Relays of the smallest fleet that has any; two, so that one can fail. */
    private static final int MIN_RELAYS = 2;
    /** Number of hosts for which one more relay is added. */
    private static final int HOSTS_PER_RELAY = 64;
    /** Time in microseconds for which a relay that failed is not asked again. */
    private static final long FAILURE_BACKOFF_MICROS = 2_000_000;

    private static final String HASH_KEY = "store-relay";

    private final String host;
    private final String zone;
    private final Supplier<List<Member>> live;
    private final Map<String, Long> avoidedUntilMicros = new HashMap<>();
    private List<Member> lastLive = List.of();
    private List<Member> accepting = List.of();
    private List<String> relays = List.of();

    /**
     * Creates a selector.
     *
     * @param host name of this entry host
     * @param zone availability zone of this entry host
     * @param live supplies an immutable list of the live members, including this host; the same instance while there
     *     is no change
     */
    public RelaySelector(String host, String zone, Supplier<List<Member>> live) {
        this.host = host;
        this.zone = zone;
        this.live = live;
    }

    /** Returns how this host watches the store now: alone, as a relay or through one. */
    public WatchPacing pacing(long nowMicros) {
        avoidedUntilMicros.values().removeIf(t -> t <= nowMicros);
        update();
        if (relays.isEmpty()) {
            return WatchPacing.ALONE;
        }
        return isRelay() ? WatchPacing.RELAY : WatchPacing.RELAYED;
    }

    /**
     * Returns the relay to watch through, one of this host's zone if possible; empty if this host is to ask the store.
     */
    public Optional<Member> relay(long nowMicros) {
        update();
        return isRelay() ? Optional.empty() : otherRelay(nowMicros);
    }

    /** Returns a relay other than this host, for a host that the store turns away. */
    public Optional<Member> otherRelay(long nowMicros) {
        avoidedUntilMicros.values().removeIf(t -> t <= nowMicros);
        update();
        List<Member> usable = accepting.stream()
                .filter(m -> relays.contains(m.host()) && !m.host().equals(host))
                .filter(m -> !avoidedUntilMicros.containsKey(m.host()))
                .toList();
        List<Member> sameZone =
                usable.stream().filter(m -> m.zone().equals(zone)).toList();
        return nearest(sameZone.isEmpty() ? usable : sameZone);
    }

    /** Records that a relay did not answer or refused to. */
    public void onRelayFailed(String relay, long nowMicros) {
        avoidedUntilMicros.put(relay, nowMicros + FAILURE_BACKOFF_MICROS);
    }

    /** Returns whether a relay has failed so recently that it isn't asked. */
    public boolean isAvoided(String relay, long nowMicros) {
        return avoidedUntilMicros.getOrDefault(relay, nowMicros) > nowMicros;
    }

    /** Records that the store turned this host away or did not answer it, so that it is no relay for a while. */
    public void onStoreFailed(long nowMicros) {
        avoidedUntilMicros.put(host, nowMicros + FAILURE_BACKOFF_MICROS);
    }

    /** Records that the store answered this host. */
    public void onStoreAnswered() {
        avoidedUntilMicros.remove(host);
    }

    private boolean isRelay() {
        return relays.contains(host) && !avoidedUntilMicros.containsKey(host);
    }

    /** Returns the member that this host's name selects, so that the hosts spread over the relays. */
    private Optional<Member> nearest(List<Member> candidates) {
        List<String> names = candidates.stream().map(Member::host).toList();
        List<String> owner = RendezvousHash.owners(host, names, 1);
        return candidates.stream().filter(m -> owner.contains(m.host())).findFirst();
    }

    /** Selects the relays again after a change of the members; each watch asks for them several times. */
    private void update() {
        List<Member> current = live.get();
        if (current != lastLive) {
            lastLive = current;
            accepting = current.stream()
                    .filter(m -> m.isAccepting() && m.state() == MemberState.ALIVE)
                    .toList();
            relays = selectRelays(accepting);
        }
    }

    private static List<String> selectRelays(List<Member> accepting) {
        if (accepting.size() < MIN_HOSTS) {
            return List.of();
        }
        int count = MIN_RELAYS + accepting.size() / HOSTS_PER_RELAY;
        return RendezvousHash.owners(
                HASH_KEY, accepting.stream().map(Member::host).toList(), count);
    }
}
