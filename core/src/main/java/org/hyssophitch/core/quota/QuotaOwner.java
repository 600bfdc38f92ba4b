package org.hyssophitch.core.quota;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import org.hyssophitch.core.team.Team;

/**
 * The quotas that this host owns, and its answers to token requests. Not thread-safe.
 *
 * <p>A bucket exists while this host is the owner, and starts empty: an owner before it may have granted the whole
 * burst.
 */
public final class QuotaOwner {

    /**
     * Time in microseconds for which a new owner grants little if many hosts are silent; they may have an owner too.
     */
    private static final long CAUTION_MICROS = 3_000_000;
    /** Number of silent hosts that one failed host doesn't explain. */
    private static final int MANY_SILENT_HOSTS = 2;
    /** Time in microseconds for which a bucket is kept after requests that skipped leaving hosts. */
    private static final long STAND_IN_MICROS = 5_000_000;

    /**
     * Change of the ownership of a team's quota.
     *
     * @param isOwned whether this host owns it now
     */
    public record Change(String team, boolean isOwned) {}

    private final String self;
    private final QuotaFleet fleet;
    private final QuotaTolerance tolerance;
    private final Map<String, TeamBucket> buckets = new HashMap<>();
    private Map<String, Team> teams = Map.of();
    private boolean isStartingFull;

    QuotaOwner(String self, QuotaFleet fleet, QuotaTolerance tolerance) {
        this.self = self;
        this.fleet = fleet;
        this.tolerance = tolerance;
    }

    /** Lets new buckets start full, for a test that shows that the bound is then exceeded. */
    void startFull() {
        isStartingFull = true;
    }

    /** Returns the number of quotas that this host owns. */
    int owned() {
        return buckets.size();
    }

    /** Drops all tokens, because other hosts may have become owners while this one stood still. */
    void onPause() {
        buckets.clear();
    }

    /** Replaces the teams with a quota, by name. */
    List<Change> setTeams(Map<String, Team> value, long nowMicros) {
        teams = Map.copyOf(value);
        List<Change> changes = refresh(nowMicros);
        redefine(nowMicros);
        return changes;
    }

    /** Adapts the buckets to the fraction of the quotas that this host may grant now. */
    void redefine(long nowMicros) {
        buckets.forEach((name, bucket) -> define(bucket, teams.get(name), nowMicros));
    }

    /** Takes and gives up ownership by the order of hosts, and returns what has changed. */
    List<Change> refresh(long nowMicros) {
        List<String> lost = buckets.keySet().stream()
                .filter(t ->
                        !teams.containsKey(t) || !isOwner(t) && !buckets.get(t).isStandIn(nowMicros))
                .toList();
        List<String> gained = teams.keySet().stream()
                .filter(t -> !buckets.containsKey(t) && isOwner(t))
                .toList();
        buckets.keySet().removeAll(lost);
        gained.forEach(t -> create(t, nowMicros));
        return Stream.concat(
                        lost.stream().map(t -> new Change(t, false)),
                        gained.stream().map(t -> new Change(t, true)))
                .toList();
    }

    /**
     * Answers a token request.
     *
     * @param host name of the asking host
     * @return the answer; empty if the request was overtaken by a later one
     */
    Optional<QuotaGrant> answer(String host, QuotaAsk ask, long nowMicros) {
        if (fleet.isLeaving()) {
            return Optional.of(QuotaGrant.refused(ask, QuotaGrant.Refusal.LEAVING));
        }
        Team team = teams.get(ask.team());
        if (team == null || !mayDecide(ask, nowMicros)) {
            return Optional.of(QuotaGrant.refused(ask, QuotaGrant.Refusal.NOT_OWNER));
        }
        TeamBucket bucket = buckets.get(ask.team());
        define(bucket, team, nowMicros);
        return bucket.answer(host, ask, nowMicros);
    }

    private boolean mayDecide(QuotaAsk ask, long nowMicros) {
        if (isOwner(ask.team())) {
            buckets.computeIfAbsent(ask.team(), t -> new TeamBucket(nowMicros));
            return true;
        }
        if (ask.leaving().isEmpty() || !ask.leaving().containsAll(before(ask.team()))) {
            return false;
        }
        buckets.computeIfAbsent(ask.team(), t -> new TeamBucket(nowMicros))
                .setStandInUntil(nowMicros + STAND_IN_MICROS);
        return true;
    }

    /** Returns the hosts that come before this one in the order of owners; all if this one isn't among them. */
    private List<String> before(String team) {
        return fleet.order(team).stream().takeWhile(h -> !h.equals(self)).toList();
    }

    private boolean isOwner(String team) {
        return fleet.owner(team).filter(self::equals).isPresent();
    }

    private void create(String team, long nowMicros) {
        TeamBucket bucket = new TeamBucket(nowMicros);
        define(bucket, teams.get(team), nowMicros);
        buckets.put(team, bucket);
        if (isStartingFull) {
            bucket.fill(nowMicros);
        }
    }

    private void define(TeamBucket bucket, Team team, long nowMicros) {
        boolean isCautious = fleet.silent() >= MANY_SILENT_HOSTS && nowMicros - bucket.sinceMicros() < CAUTION_MICROS;
        double fraction = fleet.fraction(nowMicros) * (isCautious ? QuotaFleet.SPARE_FRACTION : 1);
        bucket.define(team, fleet.isQuiet(nowMicros) ? 0 : fraction, tolerance.extraBurst(team), nowMicros);
    }
}
