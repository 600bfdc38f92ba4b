package org.hyssophitch.core.quota;

/** Decision about the token of one call. Every decision is immutable. */
public sealed interface QuotaDecision {

    /**
     * The call has a token.
     *
     * @param expiresMicros time in microseconds until which the token may be used by another call if this one isn't run
     * @param isFallback whether the token is of this host's own share, because no owner answers
     */
    record Granted(long expiresMicros, boolean isFallback) implements QuotaDecision {}

    /** The call waits for an answer of the owner. */
    record Waiting() implements QuotaDecision {}

    /**
     * The team is over its quota.
     *
     * @param retryAfterMicros time in microseconds after which the caller should return
     * @param isFallback whether this host's own share is used up, because no owner answers
     */
    record Denied(long retryAfterMicros, boolean isFallback) implements QuotaDecision {}

    /**
     * Decision about a call that has waited.
     *
     * @param callId the call
     */
    record Settled(long callId, QuotaDecision decision) {}
}
