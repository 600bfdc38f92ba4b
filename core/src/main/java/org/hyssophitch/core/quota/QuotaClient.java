package org.hyssophitch.core.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

import org.hyssophitch.core.UnknownCaseException;
import org.hyssophitch.core.quota.QuotaDecision.Settled;
import org.hyssophitch.core.quota.TeamDemand.Outstanding;
import org.hyssophitch.core.quota.TeamDemand.Waiting;
import org.hyssophitch.core.team.Team;

/**
 * Gets tokens for the calls of one host from the owners of the teams' quotas. Not thread-safe.
 *
 * <p>The caller takes the token requests and the decisions about waiting calls after each event.
 */
public final class QuotaClient {

    /** Time in microseconds for which tokens are valid, from the moment at which they were requested. */
    static final long LEASE_MICROS = 1_000_000;
    /** Longest time in microseconds that a call waits for a token. */
    static final long MAX_WAIT_MICROS = 150_000;
    /** Time in microseconds after which a request without an answer is repeated or given up. */
    static final long ANSWER_TIMEOUT_MICROS = 60_000;

    /** Number of times that a request is sent to one host. */
    private static final int MAX_SENT = 2;
    /** Time in microseconds for which a host that gave no answer, or is leaving, is asked no more. */
    private static final long AVOID_MICROS = 1_000_000;
    /** Largest number of tokens in one request; bounds what an answer that is lost costs the team. */
    private static final int MAX_TOKENS = 1_000;
    /** Time in microseconds after which a call returns at the earliest if no owner answered. */
    private static final long FALLBACK_RETRY_MICROS = 500_000;
    /** Random addition to a retry time, so that callers don't return at once. */
    private static final long RETRY_JITTER_MICROS = 1_000_000;

    /** Token request to be sent to a host. */
    public record Sent(String host, QuotaAsk ask) {}

    private record Avoided(long untilMicros, boolean isLeaving) {}

    private final QuotaFleet fleet;
    private final long incarnation;
    private final RandomGenerator random;
    private final Map<String, TeamDemand> demands = new HashMap<>();
    private final Map<String, Avoided> avoided = new HashMap<>();
    private List<Sent> asks = new ArrayList<>();
    private List<Settled> settled = new ArrayList<>();
    private long sequence;

    /**
     * Creates the client of a starting host.
     *
     * @param fleet the hosts that own quotas
     * @param incarnation start time of this process in microseconds
     * @param random seeded source of randomness
     */
    QuotaClient(QuotaFleet fleet, long incarnation, RandomGenerator random) {
        this.fleet = fleet;
        this.incarnation = incarnation;
        this.random = random;
    }

    /** Replaces the teams with a quota; waiting calls of teams that have none any more are granted. */
    void setTeams(Map<String, Team> teams) {
        demands.values().stream()
                .filter(d -> !teams.containsKey(d.team().name()))
                .forEach(d -> d.takeAll().forEach(w -> settle(w, new QuotaDecision.Granted(0, false))));
        demands.keySet().retainAll(teams.keySet());
        demands.values().forEach(d -> d.setTeam(teams.get(d.team().name())));
    }

    /** Requests a token for a call. */
    QuotaDecision request(long callId, Team team, long nowMicros) {
        TeamDemand demand = demands.computeIfAbsent(team.name(), n -> new TeamDemand(team));
        demand.onCall(nowMicros);
        OptionalLong expires = demand.takeLeased(nowMicros);
        if (expires.isPresent()) {
            return new QuotaDecision.Granted(expires.getAsLong(), false);
        }
        demand.waiting().addLast(new Waiting(callId, nowMicros + MAX_WAIT_MICROS, 0));
        if (demand.outstanding() == null) {
            ask(demand, nowMicros);
        }
        return new QuotaDecision.Waiting();
    }

    /** Forgets a waiting call, whose caller has gone. */
    void cancel(long callId, String team) {
        TeamDemand demand = demands.get(team);
        if (demand != null) {
            demand.waiting().removeIf(w -> w.callId() == callId);
        }
    }

    /** Takes back the token of a call that wasn't run, for another call while its lease is valid. */
    void giveBack(String team, long expiresMicros, long nowMicros) {
        TeamDemand demand = demands.get(team);
        if (demand != null) {
            demand.addLease(1, expiresMicros, nowMicros);
        }
    }

    /** Handles the answer of a host to a token request. */
    void onGrant(String host, QuotaGrant grant, long nowMicros) {
        TeamDemand demand = demands.get(grant.team());
        Outstanding o = demand == null ? null : demand.outstanding();
        // A late or repeated answer, whose tokens are lost: the calls that needed them were decided without it.
        if (o == null || !o.host().equals(host) || o.ask().sequence() != grant.sequence()) {
            return;
        }
        demand.setOutstanding(null);
        switch (grant.refusal()) {
            case NONE -> onDecided(demand, o, grant, nowMicros);
            case NOT_OWNER -> useShare(demand, demand.takeAll(), nowMicros);
            case LEAVING -> avoid(host, true, nowMicros);
            default -> throw new UnknownCaseException(grant.refusal());
        }
        if (!demand.waiting().isEmpty()) {
            ask(demand, nowMicros);
        }
    }

    /** Adapts to the passing of time: repeats requests, turns to other hosts, and ends waits. */
    void onTime(long nowMicros) {
        avoided.values().removeIf(a -> a.untilMicros() <= nowMicros);
        demands.values().stream().filter(d -> !d.isIdle()).toList().forEach(d -> {
            useShare(d, d.takeExpired(nowMicros), nowMicros);
            if (d.outstanding() != null && d.outstanding().dueMicros() <= nowMicros) {
                onUnanswered(d, nowMicros);
            }
        });
    }

    /** Returns the time in microseconds at which something is due. */
    long nextMicros() {
        return demands.values().stream().mapToLong(TeamDemand::nextMicros).min().orElse(Long.MAX_VALUE);
    }

    /** Returns the token requests to send, once. */
    List<Sent> takeAsks() {
        List<Sent> taken = asks;
        asks = new ArrayList<>();
        return taken;
    }

    /** Returns the decisions about calls that have waited, once. */
    List<Settled> takeSettled() {
        List<Settled> taken = settled;
        settled = new ArrayList<>();
        return taken;
    }

    private void ask(TeamDemand demand, long nowMicros) {
        Target target = target(demand.team().name());
        if (target.host().isEmpty()) {
            useShare(demand, demand.takeAll(), nowMicros);
            return;
        }
        sequence++;
        int need = Math.min(MAX_TOKENS, demand.waiting().size());
        int want = Math.min(MAX_TOKENS, demand.expectedCalls(need));
        demand.markAsked(sequence);
        QuotaAsk ask = new QuotaAsk(demand.team().name(), sequence, need, want, target.leaving(), incarnation);
        send(demand, new Outstanding(target.host().get(), ask, nowMicros, 1, nowMicros + ANSWER_TIMEOUT_MICROS));
    }

    private void send(TeamDemand demand, Outstanding o) {
        demand.setOutstanding(o);
        asks.add(new Sent(o.host(), o.ask()));
    }

    private record Target(Optional<String> host, List<String> leaving) {}

    /** Returns the first host in the order of owners that answers. */
    private Target target(String team) {
        if (avoided.isEmpty()) {
            return new Target(fleet.owner(team), List.of());
        }
        List<String> leaving = new ArrayList<>();
        for (String host : fleet.order(team)) {
            Avoided a = avoided.get(host);
            if (a == null) {
                return new Target(Optional.of(host), leaving);
            }
            if (a.isLeaving()) {
                leaving.add(host);
            }
        }
        return new Target(Optional.empty(), leaving);
    }

    private void avoid(String host, boolean isLeaving, long nowMicros) {
        avoided.put(host, new Avoided(nowMicros + AVOID_MICROS, isLeaving));
    }

    private void onUnanswered(TeamDemand demand, long nowMicros) {
        Outstanding o = Objects.requireNonNull(demand.outstanding());
        if (o.sent() < MAX_SENT) {
            long due = nowMicros + ANSWER_TIMEOUT_MICROS;
            send(demand, new Outstanding(o.host(), o.ask(), o.firstSentMicros(), o.sent() + 1, due));
            return;
        }
        demand.setOutstanding(null);
        avoid(o.host(), false, nowMicros);
        if (!demand.waiting().isEmpty()) {
            ask(demand, nowMicros);
        }
    }

    private void onDecided(TeamDemand demand, Outstanding o, QuotaGrant grant, long nowMicros) {
        demand.dropShare();
        long expires = o.firstSentMicros() + LEASE_MICROS;
        demand.addLease(Math.max(0, grant.granted()), expires, nowMicros);
        int denied = Math.max(0, o.ask().need() - grant.granted());
        List<Waiting> all = demand.takeAll();
        for (Waiting w : all) {
            OptionalLong token = demand.takeLeased(nowMicros);
            if (token.isPresent()) {
                settle(w, new QuotaDecision.Granted(token.getAsLong(), false));
            } else if (denied > 0 && w.sequence() == grant.sequence()) {
                denied--;
                settle(w, deny(grant, o.ask().need() - grant.granted() - denied - 1));
            } else {
                demand.waiting().addLast(w);
            }
        }
    }

    private QuotaDecision deny(QuotaGrant grant, int place) {
        long retryAfter = grant.retryAfterMicros() + place * grant.retryIntervalMicros();
        return new QuotaDecision.Denied(
                retryAfter > TeamBucket.MAX_RETRY_MICROS
                        ? TeamBucket.MAX_RETRY_MICROS + random.nextLong(RETRY_JITTER_MICROS)
                        : Math.max(1, retryAfter),
                false);
    }

    /** Decides about calls without an owner. */
    private void useShare(TeamDemand demand, List<Waiting> calls, long nowMicros) {
        calls.forEach(w -> settle(
                w,
                demand.tryTakeShare(fleet.known(), nowMicros)
                        ? new QuotaDecision.Granted(nowMicros, true)
                        : new QuotaDecision.Denied(
                                FALLBACK_RETRY_MICROS + random.nextLong(RETRY_JITTER_MICROS), true)));
    }

    private void settle(Waiting w, QuotaDecision decision) {
        settled.add(new Settled(w.callId(), decision));
    }
}
