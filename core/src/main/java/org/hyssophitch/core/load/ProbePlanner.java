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
 * Decides which backend servers this entry host probes and when. Not thread-safe; confined to the agent engine.
 *
 * <p>Each host gets a fixed share of every budget: the budget divided by the maximum number of entry hosts. So the sum
 * of the shares never exceeds the budget, even if the hosts disagree about the membership. The token buckets start
 * empty, so a restart gains nothing. Ownership by rendezvous hashing only decides on which servers a host spends its
 * share.
 */
public final class ProbePlanner {

    /** Bytes charged to the budget for one probe and its answer, including headers. */
    public static final int BYTES_PER_PROBE = 512;

    /** Age in microseconds up to which a report makes a probe unnecessary. */
    private static final long FRESH_MICROS = 1_000_000;

    private static final double PROBE_TOKENS = 1;
    private static final int NO_EPOCH = -1;

    private final String host;
    private final Map<String, TokenBucket> serverBuckets = new HashMap<>();
    private final Map<String, Long> lastReportMicros = new HashMap<>();
    private final TokenBucket totalBucket;
    private final TokenBucket byteBucket;
    private final Map<String, String> healthPaths = new HashMap<>();
    private List<BackendServer> ownedServers = List.of();
    private int ownedEpoch = NO_EPOCH;
    private Configuration configuration = Configuration.NONE;

    /**
     * Creates a planner that plans no probes until it gets a configuration.
     *
     * @param host name of this entry host
     * @param nowMicros current time in microseconds
     */
    public ProbePlanner(String host, long nowMicros) {
        this.host = host;
        this.totalBucket = new TokenBucket(0, PROBE_TOKENS, nowMicros);
        this.byteBucket = new TokenBucket(0, BYTES_PER_PROBE, nowMicros);
    }

    /** Returns the path at which a backend server reports its load, or {@code null} for an unknown server. */
    public String healthPath(BackendServer server) {
        return healthPaths.get(server.name());
    }

    /** Applies the probe budget and the backend servers of a newly accepted configuration. */
    public void onConfiguration(Configuration accepted, long nowMicros) {
        configuration = accepted;
        ownedEpoch = NO_EPOCH;
        healthPaths.clear();
        accepted.services().forEach(s -> s.servers().forEach(b -> healthPaths.put(b.name(), s.healthPath())));
        ProbeBudget budget = accepted.probeBudget();
        double hosts = Math.max(1, accepted.maxEntryHosts());
        totalBucket.setRate(budget.probesPerSecondTotal() / hosts, PROBE_TOKENS, nowMicros);
        byteBucket.setRate(budget.bytesPerSecondTotal() / hosts, BYTES_PER_PROBE, nowMicros);
        Map<String, BackendServer> servers = accepted.serversByName();
        serverBuckets.keySet().retainAll(servers.keySet());
        lastReportMicros.keySet().retainAll(servers.keySet());
        double rate = budget.probesPerSecondPerServer() / hosts;
        servers.keySet().forEach(s -> serverBuckets
                .computeIfAbsent(s, n -> new TokenBucket(rate, PROBE_TOKENS, nowMicros))
                .setRate(rate, PROBE_TOKENS, nowMicros));
    }

    /** Records a load report of any source, which makes a probe unnecessary while the report is fresh. */
    public void onReport(LoadReport report) {
        lastReportMicros.merge(report.server(), report.takenMicros(), Math::max);
    }

    /**
     * Returns the backend servers to probe now and takes the tokens for these probes. Servers with the oldest reports
     * come first.
     *
     * @param membershipEpoch number that changes whenever the set of live hosts may have changed
     * @param live supplies the live entry hosts; called only to recompute the owned servers
     * @param nowMicros current time in microseconds
     */
    public List<BackendServer> due(int membershipEpoch, Supplier<List<Member>> live, long nowMicros) {
        if (membershipEpoch != ownedEpoch) {
            ownedEpoch = membershipEpoch;
            ownedServers = ownedServers(live.get());
        }
        return ownedServers.stream()
                .filter(s -> isStale(s, nowMicros))
                .sorted(Comparator.comparingLong(s -> lastReportMicros.getOrDefault(s.name(), 0L)))
                .filter(s -> tryTake(s, nowMicros))
                .toList();
    }

    private List<BackendServer> ownedServers(List<Member> live) {
        return configuration.services().stream()
                .flatMap(s -> s.servers().stream())
                .filter(s -> isOwner(s, live))
                .toList();
    }

    private boolean isStale(BackendServer s, long nowMicros) {
        return nowMicros - lastReportMicros.getOrDefault(s.name(), Long.MIN_VALUE / 2) > FRESH_MICROS;
    }

    /** The owner is a live host in the server's availability zone, or in any zone if that zone has no live host. */
    private boolean isOwner(BackendServer s, Collection<Member> live) {
        List<String> sameZone = names(live.stream().filter(m -> m.zone().equals(s.zone())));
        List<String> candidates = sameZone.isEmpty() ? names(live.stream()) : sameZone;
        return RendezvousHash.isOwner(s.name(), candidates, host);
    }

    private static List<String> names(Stream<Member> members) {
        return members.map(Member::host).toList();
    }

    private boolean tryTake(BackendServer s, long nowMicros) {
        TokenBucket server = serverBuckets.get(s.name());
        boolean isAllowed = server.microsUntil(PROBE_TOKENS, nowMicros) == 0
                && totalBucket.microsUntil(PROBE_TOKENS, nowMicros) == 0
                && byteBucket.microsUntil(BYTES_PER_PROBE, nowMicros) == 0;
        return isAllowed
                && server.tryTake(PROBE_TOKENS, nowMicros)
                && totalBucket.tryTake(PROBE_TOKENS, nowMicros)
                && byteBucket.tryTake(BYTES_PER_PROBE, nowMicros);
    }
}
