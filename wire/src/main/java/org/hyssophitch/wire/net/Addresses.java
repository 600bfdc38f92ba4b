package org.hyssophitch.wire.net;

import java.net.InetSocketAddress;
import java.util.regex.Pattern;

import io.netty.util.NetUtil;

/** Textual addresses of the form {@code ip:port}. Stateless. */
public final class Addresses {

    /** Ports have up to five digits and end at 65535. */
    private static final Pattern ADDRESS =
            Pattern.compile("[0-9.]+:(6553[0-5]|655[0-2]\\d|65[0-4]\\d{2}|6[0-4]\\d{3}|[1-5]\\d{4}|[1-9]\\d{0,3})");

    private Addresses() {}

    /** Returns the textual form of an address. */
    public static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ':' + address.getPort();
    }

    /** Returns whether a text is an IPv4 address and a port. */
    public static boolean isAddress(String text) {
        return ADDRESS.matcher(text).matches() && NetUtil.isValidIpV4Address(text.substring(0, text.indexOf(':')));
    }

    /**
     * Parses an address without name resolution.
     *
     * @throws MalformedAddressException for text of another form
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new MalformedAddressException(text);
        }
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
