package org.hyssophitch.core.statement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.hyssophitch.core.statement.ServerStatement.Cold;
import org.hyssophitch.core.statement.ServerStatement.Leaving;
import org.hyssophitch.core.statement.ServerStatement.RateLimit;
import org.hyssophitch.core.statement.ServerStatement.Unusable;
import org.hyssophitch.core.statement.ServerStatement.Wait;

/**
 * The conditions that one backend server process has stated in its answers. Not thread-safe; confined to the call
 * engine.
 */
public final class ServerConditions {

    /** Minimum interval in microseconds between log lines about statements that can't be used. */
    private static final long UNUSABLE_INTERVAL_MICROS = 10_000_000;

    private final String server;
    private final StatedLimit limit;
    private final ColdLimit cold;
    private final RequestedWait wait = new RequestedWait();
    private long leavingSinceMicros;
    private long nextUnusableMicros;

    /**
     * Creates the conditions of a server that has stated nothing.
     *
     * @param server name of the server process
     */
    public ServerConditions(String server) {
        this(server, new HostViews());
    }

    /**
     * Creates the conditions of a server that has stated nothing.
     *
     * @param server name of the server process
     * @param views the entry hosts, which share the server's limits
     */
    ServerConditions(String server, HostViews views) {
        this.server = server;
        this.limit = new StatedLimit(server);
        this.cold = new ColdLimit(server, views);
    }

    /** Sets the availability zone of the server, whose entry hosts use it most. */
    public void setZone(String zone) {
        limit.setZone(zone);
        cold.setZone(zone);
    }

    /** Returns whether the server states a rate limit and this host has a share of it. */
    public boolean hasShare() {
        return limit.current().isPresent() && limit.share().burst() > 0;
    }

    /** Returns the rate limit that the server states, and this host's use of it. */
    public StatedLimit limit() {
        return limit;
    }

    /** Returns the limit of the server while it is cold, and this host's use of it. */
    public ColdLimit cold() {
        return cold;
    }

    /** Returns whether the server has said that it is leaving. */
    public boolean isLeaving() {
        return leavingSinceMicros > 0;
    }

    /** Returns whether a request may be sent to the server now. */
    public boolean accepts(long nowMicros) {
        return acceptsFromMicros(nowMicros) <= nowMicros;
    }

    /** Returns the time in microseconds from which a request may be sent; {@link Long#MAX_VALUE} if none may be. */
    public long acceptsFromMicros(long nowMicros) {
        if (isLeaving()) {
            return Long.MAX_VALUE;
        }
        long limits = Math.max(limit.acceptsFromMicros(nowMicros), cold.acceptsFromMicros(nowMicros));
        return Math.max(wait.endMicros(nowMicros), limits);
    }

    /** Returns whether the server may be probed now: not while it wants nothing. */
    public boolean acceptsProbes(long nowMicros) {
        return wait.endMicros(nowMicros) <= nowMicros;
    }

    /** Counts an attempt that is sent to the server. */
    public void onAttempt(long nowMicros) {
        limit.onAttempt(nowMicros);
        cold.onAttempt(nowMicros);
    }

    /**
     * Applies the statements of an answer. One that states a condition counts whatever it answers; only a success
     * shows that the server no longer states one.
     *
     * @param statements what the answer states
     * @param isSuccess whether it is a success that is passed on to a caller
     * @param sentMicros time in microseconds at which its request was sent
     * @param hosts the entry hosts
     * @param nowMicros current time in microseconds
     * @return whether a condition changed
     */
    public boolean onAnswer(
            List<ServerStatement> statements, boolean isSuccess, long sentMicros, KnownHosts hosts, long nowMicros) {
        boolean isLimitChanged = onLimit(lowestLimit(statements), isSuccess, sentMicros, hosts, nowMicros);
        long changes = statements.stream()
                .filter(s -> hear(s, sentMicros, hosts, nowMicros))
                .count();
        return isLimitChanged || changes > 0;
    }

    /** Applies one statement; returns whether it changed a condition. */
    private boolean hear(ServerStatement statement, long sentMicros, KnownHosts hosts, long nowMicros) {
        return switch (statement) {
            case Leaving s -> hearLeaving(nowMicros);
            case Wait s -> wait.hear(s, hosts.phase(server), hosts.count(), nowMicros);
            case Cold s -> cold.onAnswer(s.micros(), sentMicros, nowMicros);
            case RateLimit s -> false; // The lowest limit of the answer has been applied.
            case Unusable s -> false;
        };
    }

    private static Optional<RateLimit> lowestLimit(List<ServerStatement> statements) {
        return statements.stream()
                .filter(RateLimit.class::isInstance)
                .map(RateLimit.class::cast)
                .min(Comparator.comparingDouble(RateLimit::perSecond));
    }

    private boolean onLimit(
            Optional<RateLimit> stated, boolean isSuccess, long sentMicros, KnownHosts hosts, long nowMicros) {
        if (stated.isPresent()) {
            return limit.hear(stated.get(), hosts, nowMicros);
        }
        return isSuccess && limit.hearNone(sentMicros, hosts, nowMicros);
    }

    private boolean hearLeaving(long nowMicros) {
        boolean isNew = !isLeaving();
        leavingSinceMicros = nowMicros;
        return isNew;
    }

    /** Returns the conditions in force as written to events; "none" without any. */
    public String describe(long nowMicros) {
        List<String> all = Stream.of(
                        isLeaving() ? Optional.of("leaving") : Optional.<String>empty(),
                        wait.describe(nowMicros),
                        cold.describe(nowMicros),
                        limit.current().map(l -> "limit " + l.perSecond() + "/s"))
                .flatMap(Optional::stream)
                .toList();
        return all.isEmpty() ? "none" : String.join(", ", all);
    }

    /** Applies what another host has heard of the server's limit; returns whether it changed. */
    public boolean onNews(LimitNews news, KnownHosts hosts, long nowMicros) {
        return limit.apply(news, hosts, nowMicros);
    }

    /** Adapts to a change of the entry hosts. */
    public void onHostsChanged(KnownHosts hosts, long nowMicros) {
        limit.divide(hosts, nowMicros);
    }

    /** Adapts to the passing of time. */
    public void onTime(KnownHosts hosts, long nowMicros) {
        limit.tryAfterSilence(hosts, nowMicros);
    }

    /** Returns whether a statement that can't be used should be recorded now. */
    public boolean takeUnusable(long nowMicros) {
        boolean isDue = nowMicros >= nextUnusableMicros;
        nextUnusableMicros = isDue ? nowMicros + UNUSABLE_INTERVAL_MICROS : nextUnusableMicros;
        return isDue;
    }

    /** Returns the time in microseconds at which some host last heard a statement of the server; 0 if none has. */
    long heardMicros() {
        return Math.max(Math.max(limit.heardMicros(), leavingSinceMicros), wait.heardMicros());
    }

    /** Returns whether the other hosts should hear the news at once. */
    public boolean hasUrgentNews() {
        return limit.isSignificant();
    }

    /** Returns the news to share with the other hosts now; empty if there are none. */
    public Optional<LimitNews> takeNews(long nowMicros) {
        return limit.takeNews(nowMicros);
    }
}
