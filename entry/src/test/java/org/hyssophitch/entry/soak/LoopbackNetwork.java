package org.hyssophitch.entry.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.stream.IntStream;

/** The loopback addresses of this process: runs side by side on one machine must not share any. */
final class LoopbackNetwork {

    private static final int FIRST = 64;
    private static final int COUNT = 128;
    private static final int CLAIM_PORT = 18_079;

    /** Listens as long as the process runs, which keeps the network from others. */
    private static final ServerSocket CLAIM = claim();

    private LoopbackNetwork() {}

    /** Returns the second number of the addresses. */
    static int number() {
        return Byte.toUnsignedInt(CLAIM.getInetAddress().getAddress()[1]);
    }

    private static ServerSocket claim() {
        int start = (int) (ProcessHandle.current().pid() % COUNT);
        return IntStream.range(0, COUNT)
                .map(i -> FIRST + (start + i) % COUNT)
                .mapToObj(LoopbackNetwork::claim)
                .filter(ServerSocket::isBound)
                .findFirst()
                .orElseThrow();
    }

    /** Returns a socket that is unbound if another process has the network. */
    private static ServerSocket claim(int number) {
        try {
            ServerSocket socket = new ServerSocket();
            try {
                socket.bind(new InetSocketAddress("127." + number + ".0.41", CLAIM_PORT));
            } catch (IOException e) {
                socket.close();
            }
            return socket;
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
