package org.hyssophitch.core.call;

import java.util.EnumSet;
import java.util.Set;

/** Features of the call engine; tests and benchmarks disable single ones to show their effect. */
public enum EngineFeature {
    /** Run a ticketed request at most once, and only in the process that issued the ticket. */
    TICKETS,
    /** Retry a request only if it is idempotent or provably did not run. */
    SAFE_RETRIES,
    /** Limit retries by a budget, and forbid retries of the calls that a retried request causes. */
    RETRY_BUDGET,
    /** Hedge slow idempotent calls with a second attempt. */
    HEDGING,
    /** Eject servers after consecutive failures. */
    OUTLIER_DETECTION,
    /** Lower the in-flight limit of a server that sheds load. */
    ADAPTIVE_LIMIT,
    /** Isolate requests suspected of crashing servers, and refuse convicted ones. */
    SUSPECT_ISOLATION,
    /** Send no new requests to a leaving server. */
    DRAIN,
    /** Reject a call immediately if it can't meet its deadline. */
    EARLY_REFUSAL,
    /** Order waiting calls of equal priority fairly between teams. */
    FAIR_ORDER,
    /** Reject a waiting call as soon as it is expected to wait too long, and tell its caller when to return. */
    WAIT_FORECAST,
    /** Make calls of teams with a quota wait for a token. */
    QUOTAS;

    /** Returns every feature. */
    public static Set<EngineFeature> all() {
        return EnumSet.allOf(EngineFeature.class);
    }

    /** Returns every feature except the given one. */
    public static Set<EngineFeature> allBut(EngineFeature excluded) {
        return EnumSet.complementOf(EnumSet.of(excluded));
    }
}
