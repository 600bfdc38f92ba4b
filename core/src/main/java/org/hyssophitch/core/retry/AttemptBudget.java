package org.hyssophitch.core.retry;

/**
 * Bound on the attempts that are sent beyond the first of each call. Not thread-safe; owned by the call engine.
 */
public interface AttemptBudget {

    /** Earns the share of one call that arrived. */
    void earn(long nowMicros);

    /** Takes one further attempt when there is room for it, and returns whether it did. */
    boolean trySpend(long nowMicros);
}
