package org.hyssophitch.entry;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.stream.IntStream;

import org.hyssophitch.core.entry.EntrySettings;
import org.hyssophitch.wire.net.FreePorts;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** A host that reaches no backend server, while its callers and the other hosts reach it. */
public class CutOffHostTest extends EntryProgramFixture {

    /** How connections of a host that is cut off fail. */
    private enum Cut {
        REFUSED,
        SILENT
    }

    private static final int SERVERS = 4;
    private static final int REQUESTS = 10;
    /** Time in milliseconds after which a host must have found out that it is cut off. */
    private static final long STABILITY_WINDOW_MILLIS = 3_000;

    private FakeStore otherStore;
    private ServerSocket silent;
    private EntrySettings cutOff;
    private EntrySettings other;

    @BeforeMethod
    public void createOtherHost() throws IOException {
        // The two hosts read the same servers at different addresses, so that only one of them reaches the servers.
        silent = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        int ownStorePort = storePort;
        storePort = FreePorts.one();
        otherStore = new FakeStore(storePort);
        other = settings("host-2");
        storePort = ownStorePort;
        cutOff = settings;
    }

    @AfterMethod
    public void closeOtherHost() throws IOException {
        otherStore.close();
        silent.close();
    }

    @DataProvider
    public Object[][] cuts() {
        return new Object[][] {{Cut.REFUSED}, {Cut.SILENT}};
    }

    @Test(dataProvider = "cuts")
    public void callersOfAHostThatIsCutOffFromAllServersAreNotServed(Cut cut) throws Exception {
        startBoth(cut);
        request(cutOff, "/s/x");
        Thread.sleep(STABILITY_WINDOW_MILLIS);

        List<String> answers = IntStream.range(0, REQUESTS)
                .mapToObj(i -> request(cutOff, "/s/" + i))
                .toList();
        long served = answers.stream().filter(a -> a.startsWith("HTTP/1.1 200")).count();
        assertEquals(served, REQUESTS, answers.toString());
        assertTrue(answers.getFirst().endsWith("first"), answers.getFirst());
    }

    private void startBoth(Cut cut) throws InterruptedException {
        int deadPort = cut == Cut.SILENT ? silent.getLocalPort() : FreePorts.one();
        store.put(ENTRY_HOSTS_KIND, other.host(), entryHost(other));
        FakeStore ownStore = store;
        configure(1, "svc");
        registerServers(deadPort);
        store = otherStore;
        configure(1, "svc");
        registerServers(first.port());
        store = ownStore;
        start(other);
        start(cutOff);
        await(() -> ready(cutOff) == 200 && ready(other) == 200);
        await(() -> directory(cutOff).contains(other.addresses().front()));
    }

    private void registerServers(int port) {
        IntStream.range(0, SERVERS)
                .forEach(i -> store.put(
                        "servers",
                        "i-" + i,
                        """
                        {"address":"127.0.0.1:%d","born":1,"information":{"service":"svc","zone":"z1","slots":3},
                         "status":{"state":"ready","sequence":1,"cold_remaining_ms":0}}
                        """
                                .formatted(port)));
    }

    private static String entryHost(EntrySettings s) {
        return "{\"incarnation\":1,\"zone\":\"z1\",\"peer\":\"%s\",\"front\":\"%s\"}"
                .formatted(s.addresses().peers(), s.addresses().front());
    }
}
