package org.hyssophitch.entry;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.hyssophitch.core.entry.EntrySettings;
import org.hyssophitch.wire.net.Addresses;
import org.testng.annotations.Test;

import static org.testng.Assert.fail;

/** Tests when a host that starts says that it is ready. */
public class ReadinessTest extends EntryProgramFixture {

    private static final int STARTS = 20;
    private static final int STATUS_LINE_BYTES = 12;
    private static final int TIMEOUT_MILLIS = 5_000;

    /** Guards against a host that says that it is ready, and refuses the connections of those who believe it. */
    @Test
    public void readyHostListens() throws Exception {
        configure(1, "first");
        for (int i = 0; i < STARTS; i++) {
            EntrySettings s = settings("host-" + i);
            Thread starting = Thread.startVirtualThread(() -> start(s));
            awaitReady(Addresses.parse(s.addresses().readiness()));
            try (Socket caller = new Socket()) {
                caller.connect(Addresses.parse(s.addresses().front()), TIMEOUT_MILLIS);
            }
            starting.join();
        }
    }

    private static void awaitReady(InetSocketAddress address) throws IOException {
        byte[] request = "GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
        long endMillis = System.currentTimeMillis() + TIMEOUT_MILLIS;
        while (System.currentTimeMillis() < endMillis) {
            try (Socket s = new Socket()) {
                s.connect(address, TIMEOUT_MILLIS);
                s.getOutputStream().write(request);
                if (status(s.getInputStream()).endsWith(" 200")) {
                    return;
                }
            } catch (IOException e) {
                Thread.onSpinWait();
            }
        }
        fail("not ready in time");
    }

    private static String status(InputStream in) throws IOException {
        return new String(in.readNBytes(STATUS_LINE_BYTES), StandardCharsets.ISO_8859_1);
    }
}
