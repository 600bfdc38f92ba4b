package org.hyssophitch.core.call;

import java.util.EnumSet;
import java.util.Set;

/** Behaviour of the call engine that can be switched off, so that proofs and measurements can show what it is for. */
public enum EngineFeature {
    /** Run a ticket only in the process that issued it, and once. */
    TICKETS,
    /** Retry a request only when it is idempotent or proved not run. */
    SAFE_RETRIES,
    /** Bound retries by a budget, and allow none below a retry. */
    RETRY_BUDGET,
    /** Send a second attempt of a late idempotent call. */
    HEDGING,
    /** Eject servers that keep failing. */
    OUTLIER_DETECTION,
    /** Lower the limit of a server that sheds load. */
    ADAPTIVE_LIMIT,
    /** Isolate and refuse requests that crash servers. */
    SUSPECT_ISOLATION,
    /** Send no new work to a leaving server. */
    DRAIN,
    /** Answer a call at once that can't meet its deadline. */
    EARLY_REFUSAL;

    /** Returns every feature. */
    public static Set<EngineFeature> all() {
        return EnumSet.allOf(EngineFeature.class);
    }

    /** Returns every feature but the one given. */
    public static Set<EngineFeature> allBut(EngineFeature left) {
        return EnumSet.complementOf(EnumSet.of(left));
    }
}
