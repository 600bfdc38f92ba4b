package org.hyssophitch.wire.net;

import java.net.InetSocketAddress;

/** Thrown when a local address can't be bound: it is already in use or isn't an address of this machine. Immutable. */
public final class ListenFailedException extends IllegalStateException {

    private static final long serialVersionUID = 1L;

    ListenFailedException(InetSocketAddress local, Throwable cause) {
        super("failed to bind " + Addresses.format(local), cause);
    }
}
