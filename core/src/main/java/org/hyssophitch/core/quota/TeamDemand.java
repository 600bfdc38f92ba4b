package org.hyssophitch.core.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.OptionalLong;

import org.hyssophitch.core.load.TokenBucket;
import org.hyssophitch.core.team.Team;

/** Calls and tokens of one team at a host that isn't necessarily the owner of its quota. Not thread-safe. */
final class TeamDemand {

    /** Time in microseconds over which the rate of calls is averaged. */
    private static final double AVERAGING_MICROS = 2_000_000;
    /** Time in microseconds for which tokens are requested in advance. */
    private static final double ADVANCE_MICROS = 500_000;
    /** Time in microseconds for which an unused share is kept, so that many hosts can't use old shares at once. */
    private static final double SHARE_SECONDS = 5;

    /**
     * Call that waits for a token.
     *
     * @param untilMicros time in microseconds until which it waits
     * @param sequence number of the request that asks for its token; 0 if none does
     */
    record Waiting(long callId, long untilMicros, long sequence) {}

    /**
     * Request without an answer.
     *
     * @param host asked host
     * @param firstSentMicros time in microseconds at which it was sent first
     * @param sent number of times that it was sent
     * @param dueMicros time in microseconds by which the answer has to arrive
     */
    record Outstanding(String host, QuotaAsk ask, long firstSentMicros, int sent, long dueMicros) {}

    private record Lease(long expiresMicros, int tokens) {}

    private final Deque<Lease> leases = new ArrayDeque<>();
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private Team team;
    private Outstanding outstanding;
    private TokenBucket share;
    private double callsPerMicro;
    private long lastCallMicros;

    TeamDemand(Team team) {
        this.team = team;
    }

    Team team() {
        return team;
    }

    void setTeam(Team value) {
        team = value;
    }

    Deque<Waiting> waiting() {
        return waiting;
    }

    Outstanding outstanding() {
        return outstanding;
    }

    void setOutstanding(Outstanding value) {
        outstanding = value;
    }

    /** Returns whether the team has nothing here that time changes. */
    boolean isIdle() {
        return waiting.isEmpty() && outstanding == null;
    }

    /** Counts a call, from which the rate of the next ones is expected. */
    void onCall(long nowMicros) {
        double elapsed = Math.max(0, nowMicros - lastCallMicros);
        callsPerMicro = callsPerMicro * Math.exp(-elapsed / AVERAGING_MICROS) + 1 / AVERAGING_MICROS;
        lastCallMicros = nowMicros;
    }

    /** Returns the number of tokens to request in advance, in addition to those for waiting calls. */
    int expectedCalls(int need) {
        return Math.max(0, (int) (callsPerMicro * ADVANCE_MICROS) - need);
    }

    /** Takes a token out of a valid lease and returns the end of the lease; empty without one. */
    OptionalLong takeLeased(long nowMicros) {
        leases.removeIf(l -> l.expiresMicros() <= nowMicros);
        if (leases.isEmpty()) {
            return OptionalLong.empty();
        }
        Lease first = leases.removeFirst();
        if (first.tokens() > 1) {
            leases.addFirst(new Lease(first.expiresMicros(), first.tokens() - 1));
        }
        return OptionalLong.of(first.expiresMicros());
    }

    /** Adds tokens that are valid for some time. */
    void addLease(int tokens, long expiresMicros, long nowMicros) {
        if (tokens > 0 && expiresMicros > nowMicros) {
            leases.addLast(new Lease(expiresMicros, tokens));
        }
    }

    void dropLeases() {
        leases.clear();
    }

    /** Takes a token out of this host's share of the spare part of the quota; returns whether there was one. */
    boolean tryTakeShare(int knownHosts, long nowMicros) {
        double rate = team.requestsPerSecond() * QuotaFleet.SPARE_FRACTION / knownHosts;
        if (share == null) {
            share = new TokenBucket(rate, rate * SHARE_SECONDS, nowMicros);
        }
        share.setRate(rate, rate * SHARE_SECONDS, nowMicros);
        return share.tryTake(1, nowMicros);
    }

    /** Gives up the share, because an owner answers; a later one starts empty. */
    void dropShare() {
        share = null;
    }

    /** Removes and returns the calls that have waited too long. */
    List<Waiting> takeExpired(long nowMicros) {
        List<Waiting> expired = new ArrayList<>();
        Iterator<Waiting> i = waiting.iterator();
        while (i.hasNext()) {
            Waiting w = i.next();
            if (w.untilMicros() <= nowMicros) {
                expired.add(w);
                i.remove();
            }
        }
        return expired;
    }

    /** Removes and returns all waiting calls. */
    List<Waiting> takeAll() {
        List<Waiting> all = List.copyOf(waiting);
        waiting.clear();
        return all;
    }

    /** Records that a request asks for the tokens of all waiting calls. */
    void markAsked(long sequence) {
        List<Waiting> asked = waiting.stream()
                .map(w -> new Waiting(w.callId(), w.untilMicros(), sequence))
                .toList();
        waiting.clear();
        waiting.addAll(asked);
    }

    /** Returns the time in microseconds at which something is due. */
    long nextMicros() {
        long wait = waiting.isEmpty() ? Long.MAX_VALUE : waiting.peekFirst().untilMicros();
        return outstanding == null ? wait : Math.min(wait, outstanding.dueMicros());
    }
}
