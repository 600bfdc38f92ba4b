package org.hyssophitch.core.atmostonce;

/**
 * Lookup of the live processes that issue tickets. Implementations are immutable snapshots of the membership.
 */
@FunctionalInterface
public interface IssuerView {

    /** Returned for an entry host without a live issuing process. */
    long GONE = -1;

    /** Returns the incarnation of the live issuing process on an entry host, or {@link #GONE} if there is none. */
    long liveIncarnation(String host);
}
