package org.hyssophitch.core.membership;

/**
 * One heartbeat message between agents. Immutable.
 *
 * @param kind what the message asks for or tells
 * @param sequence number that the sender of the first heartbeat gave it
 * @param target host that is asked for
 * @param to address that the message goes to; empty on a received message
 * @param forwardTo address that an answer has to be passed on to; empty when it ends where it arrives
 */
public record Heartbeat(Kind kind, long sequence, String target, String to, String forwardTo) {

    /** Kinds of heartbeat messages. */
    public enum Kind {
        PING,
        ACK,
        /** Asks the receiver to send a heartbeat to the target in the sender's place. */
        PING_REQUEST
    }

    /** Returns the answer to this heartbeat. */
    Heartbeat answer(String senderAddress) {
        return new Heartbeat(Kind.ACK, sequence, target, senderAddress, forwardTo);
    }

    /** Returns the answer as passed on to the host that asked for it. */
    Heartbeat forward() {
        return new Heartbeat(Kind.ACK, sequence, target, forwardTo, "");
    }
}
