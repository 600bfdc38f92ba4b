package org.hyssophitch.core.quota;

/**
 * Answer to a token request. Immutable.
 *
 * @param team name of the team
 * @param sequence sequence number of the request
 * @param granted number of tokens
 * @param refusal why the host grants none; {@link Refusal#NONE} if it is the owner
 * @param retryAfterMicros time in microseconds after which the first call that got no token should return
 * @param retryIntervalMicros time in microseconds between the returns of two calls that got no token
 */
public record QuotaGrant(
        String team, long sequence, int granted, Refusal refusal, long retryAfterMicros, long retryIntervalMicros) {

    /** Why a host doesn't decide about a token request. */
    public enum Refusal {
        /** The host is the owner and has decided. */
        NONE,
        /** The host considers another one the owner. */
        NOT_OWNER,
        /** The host is leaving and grants no tokens until its end. */
        LEAVING
    }

    /** Returns the answer of a host that doesn't decide about a request. */
    static QuotaGrant refused(QuotaAsk ask, Refusal refusal) {
        return new QuotaGrant(ask.team(), ask.sequence(), 0, refusal, 0, 0);
    }
}
