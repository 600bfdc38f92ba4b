package org.hyssophitch.core.retry;

/**
 * Budget of extra attempts: retries and hedges, which are sent in addition to the first attempt of a call. Not
 * thread-safe; confined to the call engine.
 */
public interface AttemptBudget {

    /** Credits the budget for one call that arrived. */
    void deposit(long nowMicros);

    /** Withdraws one extra attempt if the budget allows it, and returns whether it did. */
    boolean tryWithdraw(long nowMicros);
}
