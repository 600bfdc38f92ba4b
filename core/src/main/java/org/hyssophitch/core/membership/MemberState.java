package org.hyssophitch.core.membership;

/** States of an entry host in membership, ordered so that a later one wins at the same revision. */
public enum MemberState {
    ALIVE,
    /** No answer to heartbeats; the host has time to refute. */
    SUSPECT,
    /** No refutation came in time. */
    DEAD,
    /** The host said itself that it stops. */
    LEFT
}
