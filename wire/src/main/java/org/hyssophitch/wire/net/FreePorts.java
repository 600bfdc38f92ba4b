package org.hyssophitch.wire.net;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

/**
 * Finds unused ports on the loopback address, for processes whose addresses must be known before they start.
 * Thread-safe.
 *
 * <p>The ports are below the ephemeral range of Linux, which begins at 32,768 (net.ipv4.ip_local_port_range). An unused
 * port in that range can be assigned to an outgoing connection at any time, after which binding a listener to it fails
 * with "address already in use".
 */
public final class FreePorts {

    private static final int MIN_PORT = 16_384;
    private static final int EPHEMERAL_RANGE_START = 32_768;
    private static final int PORTS = EPHEMERAL_RANGE_START - MIN_PORT;
    /** Each port is offered once before any is offered again, as it is bound only some time after it was found free. */
    private static final AtomicInteger NEXT =
            new AtomicInteger(ThreadLocalRandom.current().nextInt(PORTS));

    private FreePorts() {}

    /** Returns a port that is unused for both TCP and UDP. */
    public static int one() {
        return several(1)[0];
    }

    /**
     * Returns distinct ports that are unused for both TCP and UDP; fewer than requested when there aren't enough.
     *
     * @param count requested number of ports
     */
    public static int[] several(int count) {
        return IntStream.generate(() -> MIN_PORT + Math.floorMod(NEXT.getAndIncrement(), PORTS))
                .limit(PORTS)
                .filter(FreePorts::isFree)
                .limit(count)
                .toArray();
    }

    private static boolean isFree(int port) {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        try (ServerSocket listener = new ServerSocket();
                DatagramSocket datagramSocket = new DatagramSocket(null)) {
            listener.bind(address);
            datagramSocket.bind(address);
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
