package org.hyssophitch.core.load;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.stream.Stream;

import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.configuration.ProbeBudget;
import org.hyssophitch.core.membership.Member;

/**
 * Decides which backend servers this entry host probes and when. Not thread-safe; owned by the agent engine.
 *
 * <p>Each host gets a fixed share of every budget, the budget over the largest number of entry hosts. The sum of all
 * shares never exceeds the budget, whatever the hosts believe of each other. Buckets start empty, so a restart gains
 * nothing. Ownership only decides who uses its share on which server.
 */
public final class ProbePlanner {

    /** Bytes of one probe and its answer that are charged to the budget, headers included. */
    public static final int BYTES_PER_PROBE = 512;

    /** Age in microseconds up to which a report makes a probe needless. */
    private static final long FRESH_MICROS = 1_000_000;

    private static final double ONE_PROBE = 1;
    private static final int NO_EPOCH = -1;

    private final String host;
    private final Map<String, TokenBucket> perServer = new HashMap<>();
    private final Map<String, Long> lastReportMicros = new HashMap<>();
    private final TokenBucket total;
    private final TokenBucket bytes;
    private final Map<String, String> healthPaths = new HashMap<>();
    private List<BackendServer> owned = List.of();
    private int ownedEpoch = NO_EPOCH;
    private Configuration configuration = Configuration.NONE;

    /**
     * Creates a planner that probes nothing until a configuration comes into force.
     *
     * @param host name of this entry host
     * @param nowMicros current time in microseconds
     */
    public ProbePlanner(String host, long nowMicros) {
        this.host = host;
        this.total = new TokenBucket(0, ONE_PROBE, nowMicros);
        this.bytes = new TokenBucket(0, BYTES_PER_PROBE, nowMicros);
    }

    /** Returns the path at which a known backend server tells its load. */
    public String healthPath(BackendServer server) {
        return healthPaths.get(server.name());
    }

    /** Takes over the budgets and backend servers of a configuration. */
    public void onConfiguration(Configuration accepted, long nowMicros) {
        configuration = accepted;
        ownedEpoch = NO_EPOCH;
        healthPaths.clear();
        accepted.services().forEach(s -> s.servers().forEach(b -> healthPaths.put(b.name(), s.healthPath())));
        ProbeBudget budget = accepted.probeBudget();
        double hosts = Math.max(1, accepted.maxEntryHosts());
        total.setRate(budget.probesPerSecondTotal() / hosts, ONE_PROBE, nowMicros);
        bytes.setRate(budget.bytesPerSecondTotal() / hosts, BYTES_PER_PROBE, nowMicros);
        Map<String, BackendServer> servers = accepted.serversByName();
        perServer.keySet().retainAll(servers.keySet());
        lastReportMicros.keySet().retainAll(servers.keySet());
        double rate = budget.probesPerSecondPerServer() / hosts;
        servers.keySet().forEach(s -> perServer
                .computeIfAbsent(s, n -> new TokenBucket(rate, ONE_PROBE, nowMicros))
                .setRate(rate, ONE_PROBE, nowMicros));
    }

    /** Notes a report of any source, which makes a probe needless while it is fresh. */
    public void onReport(LoadReport report) {
        lastReportMicros.merge(report.server(), report.takenMicros(), Math::max);
    }

    /**
     * Returns the backend servers to probe now; their tokens are taken.
     *
     * @param membershipEpoch number that changes whenever the live hosts may have changed
     * @param live entry hosts that count as running
     * @param nowMicros current time in microseconds
     */
    public List<BackendServer> due(int membershipEpoch, Supplier<List<Member>> live, long nowMicros) {
        if (membershipEpoch != ownedEpoch) {
            ownedEpoch = membershipEpoch;
            owned = owned(live.get());
        }
        return owned.stream()
                .filter(s -> isStale(s, nowMicros))
                .sorted(Comparator.comparingLong(s -> lastReportMicros.getOrDefault(s.name(), 0L)))
                .filter(s -> tryTake(s, nowMicros))
                .toList();
    }

    private List<BackendServer> owned(List<Member> live) {
        return configuration.services().stream()
                .flatMap(s -> s.servers().stream())
                .filter(s -> isOwner(s, live))
                .toList();
    }

    private boolean isStale(BackendServer s, long nowMicros) {
        return nowMicros - lastReportMicros.getOrDefault(s.name(), Long.MIN_VALUE / 2) > FRESH_MICROS;
    }

    /** A live host of the server's own availability zone owns it; of any zone when that zone has none. */
    private boolean isOwner(BackendServer s, Collection<Member> live) {
        List<String> near = names(live.stream().filter(m -> m.zone().equals(s.zone())));
        List<String> candidates = near.isEmpty() ? names(live.stream()) : near;
        return Rendezvous.isOwner(s.name(), candidates, host);
    }

    private static List<String> names(Stream<Member> members) {
        return members.map(Member::host).toList();
    }

    private boolean tryTake(BackendServer s, long nowMicros) {
        TokenBucket server = perServer.get(s.name());
        boolean isAllowed = server.microsUntil(ONE_PROBE, nowMicros) == 0
                && total.microsUntil(ONE_PROBE, nowMicros) == 0
                && bytes.microsUntil(BYTES_PER_PROBE, nowMicros) == 0;
        return isAllowed
                && server.tryTake(ONE_PROBE, nowMicros)
                && total.tryTake(ONE_PROBE, nowMicros)
                && bytes.tryTake(BYTES_PER_PROBE, nowMicros);
    }
}
