package org.hyssophitch.entry.soak;

/** What callers, servers and operators rely on. */
enum Rule {
    /** A request that a stopping host has passed on gets its whole answer. */
    LOST,
    /** A request from a kept connection that a sound server has got is answered, at any time. */
    UNANSWERED,
    /** A success is the whole answer of a server to this request. */
    MIXED,
    /** A request that isn't idempotent runs at most once. */
    TWICE,
    /** A refused request that isn't idempotent hasn't run and doesn't run later. */
    REFUSED,
    /** The process of a host ends only on a signal. */
    EXIT
}
