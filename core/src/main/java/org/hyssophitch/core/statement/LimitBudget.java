package org.hyssophitch.core.statement;

import org.hyssophitch.core.load.TokenBucket;

/** This host's use of its share of a limit. Not thread-safe; confined to the call engine. */
final class LimitBudget {

    private static final double MICROS_PER_SECOND = 1_000_000;

    private final RecentAttempts recent = new RecentAttempts();
    private LimitShare share = LimitShare.NONE;
    private TokenBucket bucket = new TokenBucket(0, 0, 0);

    /** Returns this host's share. */
    LimitShare share() {
        return share;
    }

    /**
     * Starts with an empty bucket, less what this host has recently sent above its share: the server counts it. Hosts
     * hear of a limit at the same time, so each waits a different fraction of a request more.
     *
     * @param phase that fraction, from 0 to 1
     */
    void start(LimitShare initial, double phase, long nowMicros) {
        share = initial;
        bucket = new TokenBucket(initial.perSecond(), initial.burst(), nowMicros);
        double allowed = initial.perSecond() * RecentAttempts.WINDOW_MICROS / MICROS_PER_SECOND;
        bucket.withdraw(Math.max(0, recent.count(nowMicros) - allowed) + phase, nowMicros);
    }

    /** Changes the share from now on. */
    void setShare(LimitShare value, long nowMicros) {
        share = value;
        bucket.setRate(value.perSecond(), value.burst(), nowMicros);
    }

    /** Owes a part of the budget. */
    void withdraw(double amount, long nowMicros) {
        bucket.withdraw(amount, nowMicros);
    }

    /**
     * Counts an attempt.
     *
     * @param isLimited whether the limit is in force
     */
    void onAttempt(boolean isLimited, long nowMicros) {
        recent.add(nowMicros);
        if (isLimited) {
            bucket.withdraw(1, nowMicros);
        }
    }

    /** Returns the time in microseconds from which an attempt may be sent; {@link Long#MAX_VALUE} if none may be. */
    long acceptsFromMicros(long nowMicros) {
        long wait = bucket.microsUntil(1, nowMicros);
        return wait == Long.MAX_VALUE ? wait : nowMicros + wait;
    }
}
