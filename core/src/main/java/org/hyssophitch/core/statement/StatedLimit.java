package org.hyssophitch.core.statement;

import java.util.Optional;

import org.hyssophitch.core.statement.ServerStatement.RateLimit;

/**
 * The rate limit that one backend server process states, and this host's use of its share. Not thread-safe; confined to
 * the call engine.
 */
public final class StatedLimit {

    /** Time in microseconds without news after which a host that isn't an owner tries whether the limit still holds. */
    private static final long SILENCE_MICROS = 20_000_000;
    /** Interval in microseconds at which unchanged news are shared again. */
    private static final long SHARE_INTERVAL_MICROS = 5_000_000;
    /** Minimum interval in microseconds between news, for a server whose statements change with each answer. */
    private static final long MIN_SHARE_INTERVAL_MICROS = 500_000;
    /** Relative change of a limit from which the other hosts are told at once. */
    private static final double SIGNIFICANT_CHANGE = 0.2;
    /** Consecutive answers without the limit that end it; a single one may be damaged. */
    private static final int ANSWERS_TO_LIFT = 2;

    private final String server;
    private final LimitBudget budget = new LimitBudget();
    private String zone = "";
    private Optional<RateLimit> limit = Optional.empty();
    private long heardMicros;
    private int answersWithout;
    private boolean isTrial;
    private long sharedMicros;
    private double sharedPerSecond;

    StatedLimit(String server) {
        this.server = server;
    }

    /** Sets the availability zone of the server. */
    void setZone(String value) {
        zone = value;
    }

    /** Returns the limit; empty when the server states none. */
    public Optional<RateLimit> current() {
        return limit;
    }

    /** Returns this host's share of the current limit. */
    public LimitShare share() {
        return budget.share();
    }

    /** Returns the time in microseconds from which a request may be sent; {@link Long#MAX_VALUE} if none may be. */
    public long acceptsFromMicros(long nowMicros) {
        return limit.isEmpty() ? nowMicros : budget.acceptsFromMicros(nowMicros);
    }

    /** Counts an attempt that is sent to the server. */
    void onAttempt(long nowMicros) {
        budget.onAttempt(limit.isPresent(), nowMicros);
    }

    /** Applies an answer that states the limit; returns whether it changed. */
    boolean hear(RateLimit stated, KnownHosts hosts, long nowMicros) {
        answersWithout = 0;
        return apply(new LimitNews(server, Optional.of(stated), nowMicros), hosts, nowMicros);
    }

    /**
     * Applies a successful answer that states no limit.
     *
     * @param sentMicros time in microseconds at which its request was sent
     * @return whether the limit changed
     */
    boolean hearNone(long sentMicros, KnownHosts hosts, long nowMicros) {
        if (limit.isEmpty() || sentMicros < heardMicros) {
            return false;
        }
        answersWithout++;
        return answersWithout >= ANSWERS_TO_LIFT
                && apply(new LimitNews(server, Optional.empty(), nowMicros), hosts, nowMicros);
    }

    /**
     * Applies what a host has heard unless this host knows as much.
     *
     * @return whether the limit changed
     */
    boolean apply(LimitNews news, KnownHosts hosts, long nowMicros) {
        if (news.heardMicros() <= heardMicros) {
            return false;
        }
        heardMicros = news.heardMicros();
        boolean isChange = !news.limit().equals(limit);
        boolean isNew = limit.isEmpty() && news.limit().isPresent();
        limit = news.limit();
        if (isNew) {
            start(hosts, nowMicros);
        } else if (isChange || isTrial) {
            divide(hosts, nowMicros);
        }
        return isChange;
    }

    /** Divides the limit anew after a change of the entry hosts. */
    void divide(KnownHosts hosts, long nowMicros) {
        isTrial = false;
        limit.ifPresent(l -> budget.setShare(LimitShare.of(l.perSecond(), server, zone, hosts), nowMicros));
    }

    /** Lets a host that has heard nothing for long try whether the limit still holds. */
    void tryAfterSilence(KnownHosts hosts, long nowMicros) {
        boolean isSilent = nowMicros - heardMicros > SILENCE_MICROS;
        if (limit.isPresent() && isSilent && !isTrial && budget.share().burst() == 0) {
            isTrial = true;
            budget.setShare(LimitShare.ofTrials(limit.get().perSecond(), hosts), nowMicros);
            budget.withdraw(hosts.phase(server), nowMicros);
        }
    }

    /** Returns the time in microseconds at which some host last heard from the server; 0 if none has. */
    long heardMicros() {
        return heardMicros;
    }

    /** Returns the news to share with the other hosts now; empty if they were told recently. */
    Optional<LimitNews> takeNews(long nowMicros) {
        long sinceShared = nowMicros - sharedMicros;
        boolean isDue = isSignificant()
                ? sinceShared >= MIN_SHARE_INTERVAL_MICROS
                : limit.isPresent() && sinceShared >= SHARE_INTERVAL_MICROS;
        if (!isDue) {
            return Optional.empty();
        }
        sharedMicros = nowMicros;
        sharedPerSecond = perSecond();
        return Optional.of(new LimitNews(server, limit, heardMicros));
    }

    /** Returns whether the limit differs so much from what was shared that the other hosts should know at once. */
    boolean isSignificant() {
        double now = perSecond();
        return now > 0 != sharedPerSecond > 0 || Math.abs(now - sharedPerSecond) > SIGNIFICANT_CHANGE * sharedPerSecond;
    }

    private double perSecond() {
        return limit.map(RateLimit::perSecond).orElse(0.0);
    }

    private void start(KnownHosts hosts, long nowMicros) {
        isTrial = false;
        budget.start(LimitShare.of(perSecond(), server, zone, hosts), hosts.phase(server), nowMicros);
    }
}
