package org.hyssophitch.wire.net;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.Arrays;
import java.util.Set;
import java.util.stream.Collectors;

import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests that a port bound by a TCP listener or a UDP socket is not reported as unused. */
public class FreePortsTest {

    private static final int MORE_THAN_AVAILABLE = 20_000;

    @Test
    public void portsInUseAreExcluded() throws IOException {
        int[] free = FreePorts.several(2);
        try (ServerSocket listener = new ServerSocket();
                DatagramSocket datagramSocket = new DatagramSocket(null)) {
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), free[0]));
            datagramSocket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), free[1]));

            Set<Integer> remaining = Arrays.stream(FreePorts.several(MORE_THAN_AVAILABLE))
                    .boxed()
                    .collect(Collectors.toSet());

            assertFalse(remaining.contains(free[0]), "port with a TCP listener");
            assertFalse(remaining.contains(free[1]), "port with a UDP socket");
            assertTrue(remaining.size() > 1, "too few unused ports");
        }
    }
}
