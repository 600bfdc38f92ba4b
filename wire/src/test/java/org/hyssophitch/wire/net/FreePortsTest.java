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

/** A port counts as free when neither a listener nor a receiver of datagrams has it. */
public class FreePortsTest {

    private static final int MORE_THAN_THERE_ARE = 20_000;

    @Test
    public void portsInUseAreLeftOut() throws IOException {
        int[] free = FreePorts.several(2);
        try (ServerSocket listener = new ServerSocket();
                DatagramSocket receiver = new DatagramSocket(null)) {
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), free[0]));
            receiver.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), free[1]));

            Set<Integer> left = Arrays.stream(FreePorts.several(MORE_THAN_THERE_ARE))
                    .boxed()
                    .collect(Collectors.toSet());

            assertFalse(left.contains(free[0]), "has a listener");
            assertFalse(left.contains(free[1]), "has a receiver of datagrams");
            assertTrue(left.size() > 1, "no port is left");
        }
    }
}
