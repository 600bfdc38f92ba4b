package org.hyssophitch.core.membership;

/**
 * One heartbeat message between agents. Immutable.
 *
 * @param kind kind of the message
 * @param sequence sequence number assigned by the host that started the exchange; answers repeat it
 * @param target host whose liveness is checked
 * @param to address of the receiver; empty in a received message
 * @param forwardTo address to which the receiver of the answer must forward it; empty when it must not be forwarded
 */
public record Heartbeat(Kind kind, long sequence, String target, String to, String forwardTo) {

    /** Kinds of heartbeat messages. The order is part of the wire format. */
    public enum Kind {
        /** Asks the receiver for an answer. */
        PING,
        /** Answers a {@link #PING}. */
        ACK,
        /** Asks the receiver to send a {@link #PING} to the target on the sender's behalf. */
        PING_REQUEST
    }

    /** Returns the answer to this heartbeat. */
    Heartbeat answer(String senderAddress) {
        return new Heartbeat(Kind.ACK, sequence, target, senderAddress, forwardTo);
    }

    /** Returns the answer to forward to the host that requested the indirect heartbeat. */
    Heartbeat forward() {
        return new Heartbeat(Kind.ACK, sequence, target, forwardTo, "");
    }
}
