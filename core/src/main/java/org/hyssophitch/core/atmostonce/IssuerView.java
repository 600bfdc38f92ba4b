package org.hyssophitch.core.atmostonce;

/**
 * What is known of the processes that issue tickets.
 */
@FunctionalInterface
public interface IssuerView {

    /** Incarnation reported for a host that is not live. */
    long GONE = -1;

    /** Returns the incarnation of the live issuing process of an entry host, or {@link #GONE}. */
    long liveIncarnation(String host);
}
