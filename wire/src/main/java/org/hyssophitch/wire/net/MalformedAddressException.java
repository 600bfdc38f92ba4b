package org.hyssophitch.wire.net;

/** A text isn't an address of the form {@code ip:port}. Immutable. */
public final class MalformedAddressException extends IllegalArgumentException {

    private static final long serialVersionUID = 1L;

    MalformedAddressException(String text) {
        super("not of the form ip:port: " + text);
    }
}
