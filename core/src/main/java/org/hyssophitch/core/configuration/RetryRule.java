package org.hyssophitch.core.configuration;

/**
 * Bounds on the attempts that one service may add to its callers' own. Immutable.
 *
 * @param maxAttempts largest number of attempts per call, the first included
 * @param retryRatio retries allowed per call on average
 * @param hedgeRatio hedged attempts allowed per call on average; 0 switches hedging off
 * @param hedgeAfterMillis time without an answer after which an idempotent call is hedged; 0 derives it from the
 *     latencies that the entry host has seen
 */
public record RetryRule(int maxAttempts, double retryRatio, double hedgeRatio, int hedgeAfterMillis) {

    /** Rule used when the document names none. */
    public static final RetryRule DEFAULT = new RetryRule(3, 0.2, 0.05, 0);

    /** Returns this rule with another attempt bound, or this instance when nothing changes. */
    public RetryRule withMaxAttempts(int value) {
        return value == maxAttempts ? this : new RetryRule(value, retryRatio, hedgeRatio, hedgeAfterMillis);
    }
}
