package org.hyssophitch.entry.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * A range of loopback addresses that no other run uses: it is held by a listening socket until the process ends.
 *
 * @param number second number of the addresses
 * @param reservation socket that holds the range
 */
record LoopbackNetwork(int number, ServerSocket reservation) {

    private static final int FIRST = 64;
    private static final int COUNT = 128;
    private static final int RESERVATION_PORT = 18_090;

    static final LoopbackNetwork OF_THIS_PROCESS = reserve();

    private static LoopbackNetwork reserve() {
        int start = (int) (ProcessHandle.current().pid() % COUNT);
        return IntStream.range(start, start + COUNT)
                .mapToObj(i -> tryReserve(FIRST + i % COUNT))
                .flatMap(Optional::stream)
                .findFirst()
                .orElseThrow();
    }

    private static Optional<LoopbackNetwork> tryReserve(int number) {
        try {
            ServerSocket socket = new ServerSocket();
            socket.bind(new InetSocketAddress("127." + number + ".255.41", RESERVATION_PORT));
            return Optional.of(new LoopbackNetwork(number, socket));
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
