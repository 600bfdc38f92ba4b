package org.hyssophitch.wire.net;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.IntStream;

/**
 * Ports of this machine's loopback address for processes whose addresses have to be known before they start.
 * Thread-safe; without state.
 *
 * <p>The ports lie below the range from which Linux takes the port of an outgoing connection, which begins at 32,768
 * (net.ipv4.ip_local_port_range). A port of that range that was found free may belong to a connection a moment later,
 * and the listener that should get it fails with "address already in use".
 */
public final class FreePorts {

    private static final int FIRST = 16_384;
    private static final int END = 32_768;

    private FreePorts() {}

    /** Returns a port on which nothing listens, neither for connections nor for datagrams. */
    public static int one() {
        return several(1)[0];
    }

    /**
     * Returns ports on which nothing listens, all of them different.
     *
     * @param count number of ports
     */
    public static int[] several(int count) {
        int start = ThreadLocalRandom.current().nextInt(END - FIRST);
        return IntStream.range(0, END - FIRST)
                .map(i -> FIRST + (start + i) % (END - FIRST))
                .filter(FreePorts::isFree)
                .limit(count)
                .toArray();
    }

    private static boolean isFree(int port) {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        try (ServerSocket listener = new ServerSocket();
                DatagramSocket receiver = new DatagramSocket(null)) {
            listener.bind(address);
            receiver.bind(address);
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
