package org.hyssophitch.entry.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/** The loopback addresses of one fleet, which no other fleet on this machine uses at the same time. */
final class LoopbackNetwork implements AutoCloseable {

    private static final int FIRST = 64;
    private static final int COUNT = 128;
    private static final int CLAIM_PORT = 18_079;

    /** Each fleet of a process takes another network, because sockets of the last one may still be closing. */
    private static final AtomicInteger NEXT =
            new AtomicInteger((int) (ProcessHandle.current().pid() % COUNT));

    private final int number;
    /** Listens as long as the network is in use, which keeps it from other processes. */
    private final ServerSocket claim;

    private LoopbackNetwork(int number, ServerSocket claim) {
        this.number = number;
        this.claim = claim;
    }

    /** Returns a network that is free. */
    static LoopbackNetwork claim() throws IOException {
        for (int i = 0; i < COUNT; i++) {
            int number = FIRST + Math.floorMod(NEXT.getAndIncrement(), COUNT);
            ServerSocket socket = new ServerSocket();
            try {
                socket.bind(new InetSocketAddress("127." + number + ".0.41", CLAIM_PORT));
                return new LoopbackNetwork(number, socket);
            } catch (IOException e) {
                socket.close();
            }
        }
        throw new IOException("all loopback networks are in use");
    }

    /** Returns the second number of the addresses. */
    int number() {
        return number;
    }

    @Override
    public void close() throws IOException {
        claim.close();
    }
}
