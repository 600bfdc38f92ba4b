package org.hyssophitch.wire.net;

import java.net.InetSocketAddress;
import java.util.regex.Pattern;

import io.netty.util.NetUtil;

/** Formats and parses addresses of the form {@code ip:port}. Stateless. */
public final class Addresses {

    private static final Pattern PORT = Pattern.compile("[1-9]\\d{0,4}");
    private static final int MAX_PORT = 65_535;

    private Addresses() {}

    /** Formats an address as {@code ip:port}. */
    public static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ':' + address.getPort();
    }

    /** Returns whether a string consists of an IPv4 address, a colon and a port from 1 to 65535. */
    public static boolean isAddress(String text) {
        int colon = text.lastIndexOf(':');
        return colon > 0 && NetUtil.isValidIpV4Address(text.substring(0, colon)) && isPort(text.substring(colon + 1));
    }

    /** Returns whether a string consists of an IPv4 address or an IPv6 address in brackets, a colon and a port. */
    public static boolean isLiteral(String text) {
        int colon = text.lastIndexOf(':');
        return colon > 0 && isLiteralHost(text.substring(0, colon)) && isPort(text.substring(colon + 1));
    }

    /** Returns whether a string is an IPv4 address or an IPv6 address in brackets: no name has to be resolved. */
    public static boolean isLiteralHost(String host) {
        return NetUtil.isValidIpV4Address(host) || host.startsWith("[") && NetUtil.isValidIpV6Address(host);
    }

    /** Returns whether a number is a TCP port that can be connected to. */
    public static boolean isPort(int port) {
        return port >= 1 && port <= MAX_PORT;
    }

    /**
     * Returns the host in an address that {@link #isLiteral}.
     *
     * @throws MalformedAddressException if it isn't
     */
    public static String host(String address) {
        return literal(address).substring(0, address.lastIndexOf(':'));
    }

    /**
     * Returns the port in an address that {@link #isLiteral}.
     *
     * @throws MalformedAddressException if it isn't
     */
    public static int port(String address) {
        return Integer.parseInt(literal(address).substring(address.lastIndexOf(':') + 1));
    }

    /**
     * Returns an address that {@link #isLiteral}.
     *
     * @throws MalformedAddressException if it isn't
     */
    public static String literal(String address) {
        if (!isLiteral(address)) {
            throw new MalformedAddressException(address);
        }
        return address;
    }

    /**
     * Parses an address. A host that is no IP address is resolved, which may block.
     *
     * @throws MalformedAddressException when the string has no colon after its first character, or no port after it
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0 || !isPort(text.substring(colon + 1))) {
            throw new MalformedAddressException(text);
        }
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    private static boolean isPort(String digits) {
        return PORT.matcher(digits).matches() && Integer.parseInt(digits) <= MAX_PORT;
    }
}
