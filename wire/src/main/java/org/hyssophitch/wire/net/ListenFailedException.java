package org.hyssophitch.wire.net;

import java.net.InetSocketAddress;

/** An address that a process has to listen on can't be bound: it belongs to another socket or isn't of this machine. */
public final class ListenFailedException extends IllegalStateException {

    private static final long serialVersionUID = 1L;

    ListenFailedException(InetSocketAddress local, Throwable cause) {
        super("can't listen on " + Addresses.format(local), cause);
    }
}
