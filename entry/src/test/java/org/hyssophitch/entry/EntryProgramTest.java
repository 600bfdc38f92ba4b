package org.hyssophitch.entry;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.hyssophitch.core.entry.EntrySettings;
import org.hyssophitch.wire.concurrent.WallClock;
import org.hyssophitch.wire.net.Addresses;
import org.hyssophitch.wire.net.ListenFailedException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

/** Tests whole entry hosts against a fake of the platform's store. */
public class EntryProgramTest extends EntryProgramFixture {

    @Test
    public void isNotReadyAndReportsNotRunBeforeTheFirstConfiguration() throws Exception {
        start(settings);
        assertEquals(ready(settings), 503);
        assertTrue(request(settings, "/s/x").startsWith("HTTP/1.1 503"));
        configure(1, "svc");
        await(() -> ready(settings) == 200);
    }

    @Test
    public void appliesNewerConfigurationsAndIgnoresOlderOnes() throws Exception {
        configure(1, "svc");
        register("i-1", first, "svc", "ready");
        register("i-2", second, "other", "ready");
        start(settings);
        await(() -> request(settings, "/s/x").endsWith("first"));
        configure(5, "other");
        await(() -> request(settings, "/s/x").endsWith("second"));
        configure(3, "svc");
        Thread.sleep(APPLY_DEADLINE_MILLIS);
        assertTrue(request(settings, "/s/x").endsWith("second"));
    }

    @Test
    public void sendsNoRequestsToADrainingServer() throws Exception {
        configure(1, "svc");
        register("i-1", first, "svc", "ready");
        register("i-2", second, "svc", "ready");
        start(settings);
        await(() -> request(settings, "/s/x").startsWith("HTTP/1.1 200"));
        register("i-1", first, "svc", "draining");
        Thread.sleep(APPLY_DEADLINE_MILLIS);
        first.requests().clear();
        for (int i = 0; i < 10; i++) {
            assertTrue(request(settings, "/s/x").endsWith("second"));
        }
        assertEquals(first.requests(), List.of());
    }

    @Test
    public void removesADeletedServerAfterTheHistoryWasCompacted() throws Exception {
        configure(1, "svc");
        register("i-1", first, "svc", "ready");
        register("i-2", second, "svc", "ready");
        start(settings);
        await(() -> request(settings, "/s/x").startsWith("HTTP/1.1 200"));
        store.compact();
        store.remove("servers", "i-1");
        store.compact();
        Thread.sleep(APPLY_DEADLINE_MILLIS);
        first.requests().clear();
        for (int i = 0; i < 10; i++) {
            assertTrue(request(settings, "/s/x").endsWith("second"));
        }
        assertEquals(first.requests(), List.of());
    }

    @DataProvider
    Object[][] outages() {
        return new Object[][] {
            {FakeStore.FailureMode.UNAVAILABLE},
            {FakeStore.FailureMode.THROTTLING},
            {FakeStore.FailureMode.UNRESPONSIVE},
        };
    }

    @Test(dataProvider = "outages")
    public void keepsServingDuringAStoreOutageAndCatchesUpAfterwards(FakeStore.FailureMode outage) throws Exception {
        configure(1, "svc");
        register("i-1", first, "svc", "ready");
        register("i-2", second, "other", "ready");
        start(settings);
        await(() -> request(settings, "/s/x").endsWith("first"));
        store.setFailureMode(outage);
        store.compact();
        configure(2, "other");
        Thread.sleep(700);
        assertTrue(request(settings, "/s/x").endsWith("first"));
        int callsBefore = store.calls().size();
        Thread.sleep(1_000);
        int callsPerSecond = store.calls().size() - callsBefore;
        assertTrue(callsPerSecond <= 15, callsPerSecond + " calls in one second of an outage");
        store.setFailureMode(FakeStore.FailureMode.NONE);
        await(() -> request(settings, "/s/x").endsWith("second"));
    }

    /** The copy holds an older configuration, a server that has left, and no registration of this host. */
    @Test
    public void restoredStoreRevertsNothing() throws Exception {
        configure(1, "svc");
        register("i-1", first, "svc", "ready", 3);
        FakeStore.Copy copy = store.copy();
        register("i-2", second, "svc", "ready", 1);
        start(settings);
        await(() -> store.get(ENTRY_HOSTS_KIND, "host-1") != null);
        configure(2, "svc", 1);
        register("i-1", first, "svc", "draining", 4);
        await(() -> request(settings, "/more1/x").endsWith("second"));
        Thread.sleep(APPLY_DEADLINE_MILLIS);
        store.restore(copy);
        first.requests().clear();
        for (int i = 0; i < 20; i++) {
            assertTrue(request(settings, "/more1/x").endsWith("second"), "configuration or server was lost");
            Thread.sleep(50);
        }
        assertEquals(first.requests(), List.of());
        register("i-2", second, "svc", "ready", 2);
        await(() -> store.get(ENTRY_HOSTS_KIND, "host-1") != null);
        assertTrue(request(settings, "/more1/x").endsWith("second"));
    }

    @Test
    public void directoryListsTheOtherEntryHosts() throws Exception {
        configure(1, "svc");
        EntrySettings other = settings("host-2");
        start(settings);
        EntryProgram leaving = start(other);
        await(() -> directory(settings).contains(other.addresses().front())
                && directory(other).contains(settings.addresses().front()));
        leaving.stop();
        programs.remove(leaving);
        await(() -> !directory(settings).contains(other.addresses().front()));
        assertTrue(directory(settings).contains(settings.addresses().front()));
    }

    /** After a loss of all hosts callers wait for the front; listing a hundred other hosts must not delay it. */
    @Test
    public void listensForRequestsBeforeItListsTheOtherHosts() throws Exception {
        store.setFailureMode(FakeStore.FailureMode.UNRESPONSIVE);
        CompletableFuture<EntryProgram> started = CompletableFuture.supplyAsync(() -> start(settings), threads);
        await(() -> store.calls().stream().anyMatch(c -> c.contains(ENTRY_HOSTS_KIND)));
        assertTrue(request(settings, "/s/x").startsWith("HTTP/1.1 503"));
        started.get(3, TimeUnit.SECONDS);
    }

    /** A watch whose connection no longer delivers changes can be detected only by a peer's newer configuration. */
    @Test
    public void relistsWhenAPeerHasANewerConfiguration() throws Exception {
        configure(1, "svc");
        register("i-1", first, "svc", "ready");
        register("i-2", second, "other", "ready");
        start(settings);
        await(() -> request(settings, "/s/x").endsWith("first"));
        store.setFailureMode(FakeStore.FailureMode.SILENT_WATCHES);
        configure(2, "other");
        Thread.sleep(500);
        assertTrue(request(settings, "/s/x").endsWith("first"));
        long start = System.nanoTime();
        start(settings("host-2"));
        await(() -> request(settings, "/s/x").endsWith("second"));
        assertTrue(
                System.nanoTime() - start < TimeUnit.SECONDS.toNanos(6),
                "the change was noticed only when the watch timed out");
    }

    @Test
    public void replacesItsRegistrationAlthoughWriteResponsesAreLost() throws Exception {
        store.put(
                ENTRY_HOSTS_KIND,
                "host-1",
                "{\"incarnation\":1,\"zone\":\"z1\",\"peer\":\"1.1.1.1:1\",\"front\":\"1.1.1.1:2\"}");
        configure(1, "svc");
        store.setFailureMode(FakeStore.FailureMode.LOST_WRITE_RESPONSES);
        start(settings);
        await(() -> store.get(ENTRY_HOSTS_KIND, "host-1").path("incarnation").asLong() > 1);
        store.setFailureMode(FakeStore.FailureMode.NONE);
        assertNotNull(store.get(ENTRY_HOSTS_KIND, "host-1"));
        assertEquals(
                store.get(ENTRY_HOSTS_KIND, "host-1").path("front").asText(),
                settings.addresses().front());
    }

    @Test
    public void finishesAcceptedRequestsOnShutdown() throws Exception {
        configure(1, "svc");
        register("i-1", first, "svc", "ready");
        first.setScript((r, c) -> {
            Thread.sleep(500);
            return ScriptedServer.ok("whole").respond(r, c);
        });
        EntryProgram program = start(settings);
        await(() -> ready(settings) == 200);
        CompletableFuture<String> response = CompletableFuture.supplyAsync(() -> request(settings, "/s/x"), threads);
        Thread.sleep(150);
        CompletableFuture<Void> stop = CompletableFuture.runAsync(program::stop, threads);
        Thread.sleep(150);
        assertEquals(ready(settings), 503);
        assertTrue(response.get(3, TimeUnit.SECONDS).endsWith("whole"));
        assertTrue(request(settings, "/s/x").endsWith("whole"), "callers that cached the address are still served");
        stop.get(3, TimeUnit.SECONDS);
        programs.remove(program);
        assertNull(store.get(ENTRY_HOSTS_KIND, "host-1"));
    }

    /** An earlier process that ran while the host's clock was ahead has a later start time, but has stopped. */
    @Test
    public void replacesTheRegistrationOfAProcessWhoseClockWasAhead() throws Exception {
        long ahead = WallClock.nowMicros() + TimeUnit.SECONDS.toMicros(3);
        store.put(
                ENTRY_HOSTS_KIND,
                "host-1",
                "{\"incarnation\":%d,\"zone\":\"z1\",\"peer\":\"1.1.1.1:1\",\"front\":\"1.1.1.1:2\"}".formatted(ahead));
        configure(1, "svc");
        EntrySettings other = settings("host-2");
        start(other);
        await(() -> ready(other) == 200);
        start(settings);
        await(() -> store.get(ENTRY_HOSTS_KIND, "host-1").path("incarnation").asLong() > ahead);
        assertEquals(
                store.get(ENTRY_HOSTS_KIND, "host-1").path("front").asText(),
                settings.addresses().front());
        await(() -> directory(other).contains(settings.addresses().front()));
    }

    /** A stopping host whose deletion was done late removed the registration of the process that followed it. */
    @Test
    public void leavesTheRegistrationOfItsSuccessorAlone() throws Exception {
        configure(1, "svc");
        EntryProgram program = start(settings);
        await(() -> store.get(ENTRY_HOSTS_KIND, "host-1") != null);
        Thread.sleep(500);
        long later = WallClock.nowMicros();
        store.put(
                ENTRY_HOSTS_KIND,
                "host-1",
                "{\"incarnation\":%d,\"zone\":\"z1\",\"peer\":\"1.1.1.1:1\",\"front\":\"1.1.1.1:2\"}".formatted(later));
        program.stop();
        programs.remove(program);
        assertEquals(store.get(ENTRY_HOSTS_KIND, "host-1").path("incarnation").asLong(), later);
    }

    @Test
    public void registersAgainWhenItsObjectIsDeleted() throws Exception {
        configure(1, "svc");
        start(settings);
        await(() -> ready(settings) == 200);
        store.remove(ENTRY_HOSTS_KIND, "host-1");
        Thread.sleep(4_000);
        await(() -> store.get(ENTRY_HOSTS_KIND, "host-1") != null);
    }

    /** Changed bounds apply immediately; other settings would need new sockets. */
    @Test
    public void appliesChangedBoundsWithoutARestart() throws Exception {
        configure(1, "svc");
        EntryProgram program = start(settings);
        await(() -> ready(settings) == 200);
        EntrySettings.Bounds shorter = new EntrySettings.Bounds(300, 0.2, 1_000, 10_000, 10_000, 1);
        program.onSettings(settings.withBounds(shorter));
        assertTrue(directory(settings).contains("\"ttl_s\":1}"), directory(settings));
        long started = System.nanoTime();
        program.stop();
        programs.remove(program);
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - started);
        assertTrue(millis < GRACE_MILLIS / 2, "stopped after " + millis + " ms");
    }

    @Test
    public void failsToStartOnAnOccupiedPortAndCanStillBeStopped() throws Exception {
        configure(1, "svc");
        int taken = Addresses.parse(settings.addresses().front()).getPort();
        try (ServerSocket other = new ServerSocket(taken, 1, InetAddress.getByName("127.0.0.1"))) {
            assertTrue(other.isBound());
            assertThrows(ListenFailedException.class, () -> start(settings));
        }
        programs.remove(0).stop();
    }
}
