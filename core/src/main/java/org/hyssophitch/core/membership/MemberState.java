package org.hyssophitch.core.membership;

/**
 * Membership states of an entry host, ordered so that the later one wins at the same revision. The order is part of the
 * wire format.
 */
public enum MemberState {
    /** The host runs. */
    ALIVE,
    /** The host did not answer heartbeats and may still refute the suspicion. */
    SUSPECT,
    /** The host did not refute the suspicion in time. */
    DEAD,
    /** The host announced that it leaves. */
    LEFT
}
