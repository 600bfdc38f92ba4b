package org.hyssophitch.entry;

import java.util.List;

import org.hyssophitch.core.entry.EntrySettings;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** A fleet that is large enough for its hosts to read the store through each other. */
public class StoreRelayTest extends RelayedFleetFixture {

    private static final int FLEET_SIZE = 17;
    private static final int CHANGES = 10;
    private static final long CHANGE_INTERVAL_MILLIS = 500;

    /** A change wakes the relays, not every host: calls to the store have a price. */
    @Test
    public void aChangeCostsFewCallsAndReachesAllHostsInTime() throws Exception {
        List<EntrySettings> fleet = startFleet(FLEET_SIZE);
        int before = watches();
        for (int i = 2; i <= CHANGES + 1; i++) {
            register("i-2", second, "svc", i % 2 == 0 ? "draining" : "ready", i);
            Thread.sleep(CHANGE_INTERVAL_MILLIS);
        }
        int calls = watches() - before;
        assertTrue(calls < FLEET_SIZE * CHANGES / 2, calls + " watches for " + CHANGES + " changes");

        register("i-2", second, "svc", "draining", CHANGES + 2);
        Thread.sleep(APPLY_DEADLINE_MILLIS);
        second.requests().clear();
        fleet.forEach(s -> assertTrue(request(s, "/s/x").endsWith("first")));
        assertEquals(second.requests(), List.of());
    }

    /** Relays that the store no longer answers must not hide a change from the hosts behind them. */
    @Test
    public void changesReachAllHostsSoonAfterAnOutage() throws Exception {
        List<EntrySettings> fleet = startFleet(FLEET_SIZE);
        store.setFailureMode(FakeStore.FailureMode.UNAVAILABLE);
        store.compact();
        Thread.sleep(APPLY_DEADLINE_MILLIS);
        fleet.forEach(s -> assertTrue(request(s, "/s/x").startsWith("HTTP/1.1 200")));
        store.setFailureMode(FakeStore.FailureMode.NONE);
        register("i-2", second, "svc", "draining", 2);
        configure(2, "svc", 1);
        Thread.sleep(2 * APPLY_DEADLINE_MILLIS);
        second.requests().clear();
        fleet.forEach(s -> assertTrue(request(s, "/more1/x").endsWith("first")));
        assertEquals(second.requests(), List.of());
    }

    /** A store that drops its history is deaf for a moment: a watch that begins then must not be relied on. */
    @Test
    public void changesReachAllHostsInTimeWhenTheRelaysWatchesAreCut() throws Exception {
        List<EntrySettings> fleet = startFleet(FLEET_SIZE);
        store.setFailureMode(FakeStore.FailureMode.SILENT_WATCHES);
        configure(2, "svc", 1);
        register("i-2", second, "svc", "draining", 3);
        store.cutWatches();
        Thread.sleep(APPLY_DEADLINE_MILLIS);
        second.requests().clear();
        fleet.forEach(s -> assertTrue(request(s, "/more1/x").endsWith("first"), s.host()));
        assertEquals(second.requests(), List.of());
        store.setFailureMode(FakeStore.FailureMode.NONE);
    }

    /** Hosts behind a relay must neither lose a change beside an unusable object nor keep the server it replaced. */
    @Test
    public void changesBesideUnusableObjectsReachAllHostsInTime() throws Exception {
        List<EntrySettings> fleet = startFleet(FLEET_SIZE);
        store.putRaw("servers", "i-2", "[".repeat(100_000) + "]".repeat(100_000));
        store.putRaw("servers", "a-odd", "{\"slots\":" + "9".repeat(5_000) + "}");
        store.putRaw("servers", "z-odd", "@ nope");
        Thread.sleep(APPLY_DEADLINE_MILLIS);
        second.requests().clear();
        fleet.forEach(s -> assertTrue(request(s, "/s/x").endsWith("first"), s.host()));
        assertEquals(second.requests(), List.of());

        register("i-3", second, "svc", "ready");
        store.remove("servers", "i-1");
        Thread.sleep(APPLY_DEADLINE_MILLIS);
        fleet.forEach(s -> assertTrue(request(s, "/s/x").endsWith("second"), s.host()));
    }

    private int watches() {
        return (int) store.calls().stream()
                .filter(c -> c.equals("GET /v1/objects/servers") || c.equals("GET /v1/objects/config"))
                .count();
    }
}
