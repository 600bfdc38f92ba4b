package org.hyssophitch.core.call;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.membership.Member;
import org.hyssophitch.core.membership.MemberState;
import org.hyssophitch.core.quota.FleetHost;

/**
 * What the membership of the fleet means for the call engine: how many hosts share the fleet-wide limits, which hosts
 * share those that servers state, and which may take calls in place of servers. Not thread-safe; owned by the thread
 * that tracks the membership.
 */
public final class FleetView {

    /** Time in microseconds for which a silent host keeps its shares of the limits that servers state. */
    private static final long DEAD_HOST_MEMORY_MICROS = 15_000_000;

    private final String self;
    private final Function<Member, BackendServer> forwardingHost;
    private final Map<String, Long> deadSinceMicros = new HashMap<>();
    private Map<String, Integer> peakLiveByZone = Map.of();
    private Map<String, String> zoneByHost = Map.of();
    private List<BackendServer> forwardingHosts = List.of();
    private List<FleetHost> quotaHosts = List.of();
    private List<Member> lastMembers = List.of();
    /** Time in microseconds at which the next dead host is forgotten, so that the known hosts change without news. */
    private long nextForgottenMicros = Long.MAX_VALUE;

    /**
     * Creates the view of a host that knows nobody.
     *
     * @param self name of this host
     * @param forwardingHost returns the address at which a host takes calls
     */
    public FleetView(String self, Function<Member, BackendServer> forwardingHost) {
        this.self = self;
        this.forwardingHost = forwardingHost;
    }

    /** Records that a member's record changed. */
    public void onMemberChanged(Member m, long nowMicros) {
        if (m.state() == MemberState.DEAD) {
            deadSinceMicros.put(m.host(), nowMicros);
        }
    }

    /**
     * Returns what has changed for the engine since the last call: the peak number of live hosts per zone, and the
     * hosts that live or died recently. The peak is used so that a host that sees only some of the others doesn't
     * exceed its share of the fleet-wide limits.
     *
     * @param members immutable list of all members; the same instance while there is no change
     */
    public List<CallEvent> update(List<Member> members, long nowMicros) {
        if (members == lastMembers && nowMicros < nextForgottenMicros) {
            return List.of();
        }
        lastMembers = members;
        nextForgottenMicros = nextForgottenMicros(members, nowMicros);
        List<CallEvent> changes = new ArrayList<>();
        Map<String, Integer> peak = new HashMap<>(peakLiveByZone);
        members.stream()
                .filter(Member::isLive)
                .collect(Collectors.groupingBy(Member::zone, Collectors.summingInt(m -> 1)))
                .forEach((zone, live) -> peak.merge(zone, live, Math::max));
        if (!peak.equals(peakLiveByZone)) {
            peakLiveByZone = peak;
            changes.add(new CallEvent.FleetChanged(nowMicros, peak));
        }
        Map<String, String> known = members.stream()
                .filter(m -> m.isLive() || isRecentlyDead(m, nowMicros))
                .collect(Collectors.toMap(Member::host, Member::zone));
        if (!known.equals(zoneByHost)) {
            zoneByHost = known;
            changes.add(new CallEvent.HostsChanged(nowMicros, known));
        }
        return changes;
    }

    /** Returns the change of the hosts that own quotas of teams. */
    public List<CallEvent> updateQuotaHosts(Collection<Member> members, long nowMicros) {
        List<FleetHost> hosts = members.stream()
                .filter(m -> m.state() != MemberState.LEFT)
                .map(m -> new FleetHost(m.host(), m.incarnation(), quotaState(m, nowMicros)))
                .toList();
        if (hosts.equals(quotaHosts)) {
            return List.of();
        }
        quotaHosts = hosts;
        return List.of(new CallEvent.QuotaHostsChanged(nowMicros, hosts));
    }

    private FleetHost.State quotaState(Member m, long nowMicros) {
        return switch (m.state()) {
            case ALIVE -> m.isAccepting() ? FleetHost.State.ALIVE : FleetHost.State.LEAVING;
            case SUSPECT -> FleetHost.State.SUSPECT;
            case DEAD, LEFT -> isRecentlyDead(m, nowMicros) ? FleetHost.State.SILENT : FleetHost.State.LOST;
        };
    }

    /**
     * Returns the change of the hosts that may take this host's calls: while it is cut off from all backend servers,
     * the others that aren't and that accept requests; otherwise none.
     */
    public List<CallEvent> updateForwardingHosts(Collection<Member> members, boolean isCutOff, long nowMicros) {
        if (!isCutOff && forwardingHosts.isEmpty()) {
            return List.of();
        }
        List<BackendServer> hosts = members.stream()
                .filter(m -> isCutOff && mayTakeCalls(m))
                .map(forwardingHost)
                .toList();
        if (hosts.equals(forwardingHosts)) {
            return List.of();
        }
        forwardingHosts = hosts;
        return List.of(new CallEvent.ForwardingHostsChanged(nowMicros, hosts));
    }

    private long nextForgottenMicros(List<Member> members, long nowMicros) {
        return members.stream()
                .filter(m -> isRecentlyDead(m, nowMicros))
                .mapToLong(m -> deadSinceMicros.getOrDefault(m.host(), 0L) + DEAD_HOST_MEMORY_MICROS)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    private boolean mayTakeCalls(Member m) {
        return m.state() == MemberState.ALIVE
                && m.isAccepting()
                && !m.isCutOff()
                && !m.host().equals(self);
    }

    /** Returns whether a host became silent so recently that it may still send requests, or soon start again. */
    private boolean isRecentlyDead(Member m, long nowMicros) {
        return m.state() == MemberState.DEAD
                && nowMicros - deadSinceMicros.getOrDefault(m.host(), 0L) < DEAD_HOST_MEMORY_MICROS;
    }
}
