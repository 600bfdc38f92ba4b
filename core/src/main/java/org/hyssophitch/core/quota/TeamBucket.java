package org.hyssophitch.core.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.hyssophitch.core.load.TokenBucket;
import org.hyssophitch.core.team.Team;

/**
 * Tokens of one team at the owner of its quota. Not thread-safe.
 *
 * <p>Tokens that were granted for expected calls count against the burst until their lease ends: they may be used
 * together with the tokens in the bucket.
 */
final class TeamBucket {

    /** Longest time in microseconds after which a call is told to return. */
    static final long MAX_RETRY_MICROS = 3_000_000;
    /** Fraction of the burst that is kept for calls that wait. */
    private static final double KEPT_FRACTION = 0.5;
    /** Number of hosts whose last request is remembered; more than any fleet has. */
    private static final int MAX_ANSWERS = 512;

    private static final double MICROS_PER_SECOND = 1_000_000.0;

    private record Lease(long untilMicros, int tokens) {}

    private record Answer(long incarnation, QuotaGrant grant) {}

    private final TokenBucket tokens;
    private final long sinceMicros;
    private final Deque<Lease> leases = new ArrayDeque<>();
    private final Map<String, Answer> answers = new LinkedHashMap<>();
    private double ratePerSecond;
    private double burst;
    private int leased;
    private long lastReturnMicros;
    private long standInUntilMicros;

    /** Creates a bucket; it is empty, as another owner may have granted all of the burst a moment ago. */
    TeamBucket(long nowMicros) {
        tokens = new TokenBucket(0, 0, nowMicros);
        sinceMicros = nowMicros;
    }

    /** Fills the bucket, for a test that shows what this would do. */
    void fill(long nowMicros) {
        tokens.withdraw(-burst, nowMicros);
    }

    /** Returns the time in microseconds since which this host has owned the quota. */
    long sinceMicros() {
        return sinceMicros;
    }

    /** Returns whether this host grants in place of owners that are leaving. */
    boolean isStandIn(long nowMicros) {
        return nowMicros < standInUntilMicros;
    }

    void setStandInUntil(long untilMicros) {
        standInUntilMicros = untilMicros;
    }

    /**
     * Changes the quota from now on.
     *
     * @param fraction fraction of the team's rate
     * @param extraBurst burst in addition to that of the team
     */
    void define(Team team, double fraction, double extraBurst, long nowMicros) {
        ratePerSecond = team.requestsPerSecond() * fraction;
        // A bucket that can't hold one token would never grant any.
        burst = Math.max(1, team.burst() + extraBurst);
        refill(nowMicros);
    }

    /** Answers a request; empty for one that a later request of the same host has overtaken. */
    Optional<QuotaGrant> answer(String host, QuotaAsk ask, long nowMicros) {
        Answer last = answers.get(host);
        if (last != null && isOvertaken(ask, last)) {
            boolean isRepeated =
                    last.incarnation() == ask.incarnation() && last.grant().sequence() == ask.sequence();
            return isRepeated ? Optional.of(last.grant()) : Optional.empty();
        }
        QuotaGrant grant = grant(ask, nowMicros);
        answers.remove(host);
        answers.put(host, new Answer(ask.incarnation(), grant));
        if (answers.size() > MAX_ANSWERS) {
            answers.remove(answers.keySet().iterator().next());
        }
        return Optional.of(grant);
    }

    private static boolean isOvertaken(QuotaAsk ask, Answer last) {
        return ask.incarnation() == last.incarnation()
                ? ask.sequence() <= last.grant().sequence()
                : ask.incarnation() < last.incarnation();
    }

    private QuotaGrant grant(QuotaAsk ask, long nowMicros) {
        refill(nowMicros);
        int needed = take(ask.need(), tokens.available(nowMicros), nowMicros);
        int expected = take(ask.want(), tokens.available(nowMicros) - burst * KEPT_FRACTION, nowMicros);
        if (expected > 0) {
            leases.addLast(new Lease(nowMicros + QuotaClient.LEASE_MICROS, expected));
            leased += expected;
        }
        int denied = Math.max(0, ask.need()) - needed;
        long interval = ratePerSecond <= 0
                ? MAX_RETRY_MICROS
                : (long) Math.min(MAX_RETRY_MICROS, MICROS_PER_SECOND / ratePerSecond);
        long retryAfter = denied > 0 ? reserveReturns(denied, interval, nowMicros) : 0;
        return new QuotaGrant(
                ask.team(),
                ask.sequence(),
                needed + expected,
                QuotaGrant.Refusal.NONE,
                retryAfter,
                denied > 0 ? interval : 0);
    }

    private int take(int wanted, double available, long nowMicros) {
        int taken = (int) Math.clamp(Math.floor(available), 0, Math.max(0, wanted));
        tokens.withdraw(taken, nowMicros);
        return taken;
    }

    /** Returns the time after which the first of some calls should return; the next calls return after the last. */
    private long reserveReturns(int calls, long interval, long nowMicros) {
        long earliest = nowMicros + Math.min(MAX_RETRY_MICROS, tokens.microsUntil(1, nowMicros));
        long first = Math.max(lastReturnMicros + interval, earliest);
        lastReturnMicros = Math.min(first + (calls - 1) * interval, nowMicros + MAX_RETRY_MICROS);
        return first - nowMicros;
    }

    private void refill(long nowMicros) {
        while (!leases.isEmpty() && leases.peekFirst().untilMicros() <= nowMicros) {
            leased -= leases.removeFirst().tokens();
        }
        tokens.setRate(ratePerSecond, Math.max(1, burst - leased), nowMicros);
    }
}
