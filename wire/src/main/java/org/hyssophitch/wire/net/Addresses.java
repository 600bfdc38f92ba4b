package org.hyssophitch.wire.net;

import java.net.InetSocketAddress;

/** Textual addresses of the form {@code ip:port}. Stateless. */
public final class Addresses {

    private Addresses() {}

    /** Returns the textual form of an address. */
    public static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ':' + address.getPort();
    }

    /**
     * Parses an address without name resolution.
     *
     * @throws IllegalArgumentException for text of another form
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("not of the form ip:port: " + text);
        }
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
