package org.hyssophitch.core.statement;

import java.util.Locale;
import java.util.Optional;

/**
 * The limit of one backend server process while it is cold, and this host's use of its share. Not thread-safe; confined
 * to the call engine.
 *
 * <p>Registrations and answers say how long the server remains cold. Both count from when they are heard, so that the
 * end is never early. An answer to a request that was sent after the last registration was heard replaces what that
 * said; of all others the latest end holds.
 */
public final class ColdLimit {

    private static final double MICROS_PER_SECOND = 1_000_000;
    private static final long MICROS_PER_MILLI = 1_000;

    private final String server;
    private final HostViews views;
    private final LimitBudget budget = new LimitBudget();
    private Optional<SharedLimit> limit = Optional.empty();
    private String zone = "";
    private boolean isOnlyChoice;
    private long endMicros;
    private long registeredMicros;
    private int registeredMillis;
    private long registeredSequence = -1;

    ColdLimit(String server, HostViews views) {
        this.server = server;
        this.views = views;
    }

    void setZone(String value) {
        zone = value;
    }

    /** Sets what the server takes while it is cold; empty if it has no limit. */
    public void setLimit(Optional<SharedLimit> value, long nowMicros) {
        if (!value.equals(limit)) {
            boolean isStart = limit.isEmpty();
            limit = value;
            if (isCold(nowMicros)) {
                apply(isStart, nowMicros);
            }
        }
    }

    /** Sets whether this host may use the server also if it knows no other host, as there are only cold servers. */
    public void setOnlyChoice(boolean value, long nowMicros) {
        if (value != isOnlyChoice) {
            isOnlyChoice = value;
            divide(nowMicros);
        }
    }

    /**
     * Applies a registration; one that was applied before doesn't count again.
     *
     * @param millis remaining time in milliseconds for which the server is cold
     * @param sequence number that rises with each statement of the server
     * @return whether a limit begins
     */
    public boolean onRegistered(int millis, long sequence, long nowMicros) {
        if (millis == registeredMillis && sequence == registeredSequence) {
            return false;
        }
        registeredMillis = millis;
        registeredSequence = sequence;
        registeredMicros = nowMicros;
        return setEnd(Math.max(endMicros, nowMicros + millis * MICROS_PER_MILLI), nowMicros);
    }

    /**
     * Applies an answer.
     *
     * @param remainingMicros remaining time for which the server is cold
     * @param sentMicros time at which the request was sent
     * @return whether a limit begins or ends
     */
    boolean onAnswer(long remainingMicros, long sentMicros, long nowMicros) {
        boolean wasLimited = isLimited(nowMicros);
        long end = nowMicros + remainingMicros;
        boolean isLater = sentMicros > registeredMicros;
        setEnd(isLater ? end : Math.max(endMicros, end), nowMicros);
        return wasLimited != isLimited(nowMicros);
    }

    /** Returns whether the server is cold, whether or not that limits it. */
    public boolean isCold(long nowMicros) {
        return nowMicros < endMicros;
    }

    /** Returns whether the server is cold and has a limit therefore. */
    public boolean isLimited(long nowMicros) {
        return limit.isPresent() && isCold(nowMicros);
    }

    /** Returns this host's share. */
    public LimitShare share() {
        return budget.share();
    }

    /** Returns the time in microseconds from which a request may be sent. */
    long acceptsFromMicros(long nowMicros) {
        return isLimited(nowMicros) ? Math.min(endMicros, budget.acceptsFromMicros(nowMicros)) : nowMicros;
    }

    void onAttempt(long nowMicros) {
        if (limit.isPresent()) {
            budget.onAttempt(isLimited(nowMicros), nowMicros);
        }
    }

    /** Divides the limit anew after a change of the entry hosts or some time after one. */
    public void divide(long nowMicros) {
        if (isLimited(nowMicros)) {
            apply(false, nowMicros);
        }
    }

    /** Returns a description for log lines; empty if the server has no limit now. */
    Optional<String> describe(long nowMicros) {
        return isLimited(nowMicros)
                ? Optional.of(
                        String.format(Locale.ROOT, "cold for %.3f s", (endMicros - nowMicros) / MICROS_PER_SECOND))
                : Optional.empty();
    }

    private boolean setEnd(long end, long nowMicros) {
        boolean isStart = !isCold(nowMicros) && end > nowMicros;
        endMicros = end;
        if (isStart) {
            apply(true, nowMicros);
        }
        return isStart && limit.isPresent();
    }

    private void apply(boolean isStart, long nowMicros) {
        LimitShare share = limit.map(l -> share(l, nowMicros)).orElse(LimitShare.NONE);
        boolean isGained = budget.share().burst() == 0 && share.burst() > 0;
        if (isStart || isGained) {
            budget.start(share, views.phase(server), nowMicros);
        } else if (!share.equals(budget.share())) {
            budget.setShare(share, nowMicros);
        }
    }

    private LimitShare share(SharedLimit l, long nowMicros) {
        LimitShare share = views.smallest(h -> LimitShare.of(l, server, zone, h), nowMicros);
        boolean isLone = share.burst() == 0 && isOnlyChoice && views.isLone(nowMicros);
        return isLone ? views.ofLone(l) : share;
    }
}
