package org.hyssophitch.core.configuration;

/**
 * Limits on retries and hedged attempts for one service. Immutable.
 *
 * @param maxAttempts maximum number of attempts per call, including the first
 * @param retryRatio average number of retries allowed per call
 * @param hedgeRatio average number of hedged attempts allowed per call; 0 disables hedging
 * @param hedgeAfterMillis time in milliseconds without a response after which an idempotent call is hedged; 0
 *     derives it from the latencies that the entry host has observed
 */
public record RetryRule(int maxAttempts, double retryRatio, double hedgeRatio, int hedgeAfterMillis) {

    /** Rule used when the configuration document defines none. */
    public static final RetryRule DEFAULT = new RetryRule(3, 0.2, 0.05, 0);

    /** Returns this rule with the given maximum number of attempts, or this instance when nothing changes. */
    public RetryRule withMaxAttempts(int value) {
        return value == maxAttempts ? this : new RetryRule(value, retryRatio, hedgeRatio, hedgeAfterMillis);
    }
}
