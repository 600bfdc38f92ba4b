package org.hyssophitch.entry;

import java.util.List;
import java.util.stream.IntStream;

import org.hyssophitch.core.entry.EntrySettings;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Whole hosts beside objects of the store that can't be used: each of them may spoil only itself. */
public class UnusableObjectProgramTest extends EntryProgramFixture {

    private static final String SERVERS = "servers";
    private static final int DEEP = 100_000;
    /** Time in milliseconds after which a host that gets no heartbeats is left out of the directory. */
    private static final long SUSPICION_MILLIS = 8_000;

    private static final List<String> CONTENTS = List.of(
            "[".repeat(DEEP) + "]".repeat(DEEP),
            "{\"a\":".repeat(990) + "1" + "}".repeat(990),
            "{\"slots\":" + "9".repeat(5_000) + "}",
            "1e999999999",
            "NaN",
            "@ nope",
            "null",
            "\"" + "x".repeat(100_000) + "\"",
            registration("127.0.0.1:70000", "3"),
            registration("host.invalid:80", "3"),
            registration("127.0.0.1:9", "2147483648"),
            registration("127.0.0.1:9", "0"));

    private static final List<String> UNUSABLE_ADDRESSES =
            List.of("127.0.0.1:99999", "nowhere", "host.invalid:80", "", "127.0.0.1:-1", "[:80");

    @DataProvider
    Object[][] arrivals() {
        return new Object[][] {{true}, {false}};
    }

    @Test(dataProvider = "arrivals")
    public void serversThatRegisterLaterAreUsed(boolean isBeforeStart) throws Exception {
        configure(1, "svc");
        register("i-0", second, "other", "ready");
        if (isBeforeStart) {
            putUnusableServers();
        }
        start(settings);
        await(() -> ready(settings) == 200);
        if (!isBeforeStart) {
            putUnusableServers();
        }
        register("z-1", first, "svc", "ready");
        Thread.sleep(APPLY_DEADLINE_MILLIS);
        for (int i = 0; i < 10; i++) {
            assertTrue(request(settings, "/s/x").endsWith("first"));
        }
    }

    @Test
    public void serverWhoseRegistrationBecomesUnusableGetsNoMoreCalls() throws Exception {
        configure(1, "svc");
        register("i-1", first, "svc", "ready");
        register("i-2", second, "svc", "ready");
        start(settings);
        await(() -> request(settings, "/s/x").startsWith("HTTP/1.1 200"));
        store.putRaw(SERVERS, "i-1", CONTENTS.getFirst());
        Thread.sleep(APPLY_DEADLINE_MILLIS);
        first.requests().clear();
        for (int i = 0; i < 10; i++) {
            assertTrue(request(settings, "/s/x").endsWith("second"));
        }
        assertEquals(first.requests(), List.of());
    }

    @Test
    public void unusableConfigurationLeavesTheOneInForce() throws Exception {
        configure(1, "svc");
        register("i-1", first, "svc", "ready");
        start(settings);
        await(() -> request(settings, "/s/x").endsWith("first"));
        for (String content : CONTENTS) {
            store.putRaw("config", "main", content);
            store.putRaw("config", "other", content);
        }
        Thread.sleep(APPLY_DEADLINE_MILLIS);
        assertTrue(request(settings, "/s/x").endsWith("first"));
        configure(2, "svc", 1);
        await(() -> request(settings, "/more1/x").endsWith("first"));
    }

    /** A peer address that no datagram can be sent to used to end the heartbeats of every host that read it. */
    @Test
    public void hostsKeepEachOtherBesideEntryHostsThatCannotBeReached() throws Exception {
        configure(1, "svc");
        register("i-1", first, "svc", "ready");
        for (String address : UNUSABLE_ADDRESSES) {
            store.putRaw(ENTRY_HOSTS_KIND, "a-peer" + address, entryHost(address, "127.0.0.1:9"));
            store.putRaw(ENTRY_HOSTS_KIND, "z-front" + address, entryHost("127.0.0.1:9", address));
        }
        List<EntrySettings> hosts = List.of(settings, settings("host-2"), settings("host-3"));
        hosts.forEach(this::start);
        await(() -> hosts.stream().allMatch(h -> knows(h, hosts)));
        Thread.sleep(SUSPICION_MILLIS);
        hosts.forEach(h -> assertTrue(knows(h, hosts), h.host() + ": " + directory(h)));
        hosts.forEach(h -> assertTrue(request(h, "/s/x").endsWith("first")));
    }

    private static boolean knows(EntrySettings host, List<EntrySettings> hosts) {
        String answer = directory(host);
        return hosts.stream().allMatch(h -> answer.contains(h.addresses().front()));
    }

    private void putUnusableServers() {
        IntStream.range(0, CONTENTS.size()).forEach(i -> store.putRaw(SERVERS, "odd-" + i, CONTENTS.get(i)));
    }

    private static String entryHost(String peer, String front) {
        return "{\"incarnation\":1,\"zone\":\"z1\",\"peer\":\"" + peer + "\",\"front\":\"" + front + "\"}";
    }

    private static String registration(String address, String slots) {
        return """
            {"address":"%s","born":1,"information":{"service":"svc","zone":"z1","slots":%s},"status":{"state":"ready"}}
            """
                .formatted(address, slots);
    }
}
