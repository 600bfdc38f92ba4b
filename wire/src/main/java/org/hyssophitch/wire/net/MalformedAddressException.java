package org.hyssophitch.wire.net;

/** Thrown for a string that isn't an address of the form {@code ip:port}. Immutable. */
public final class MalformedAddressException extends IllegalArgumentException {

    private static final long serialVersionUID = 1L;

    MalformedAddressException(String text) {
        super("address is not of the form ip:port: " + text);
    }
}
