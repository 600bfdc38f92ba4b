package org.hyssophitch.entry;

import java.util.List;

import org.hyssophitch.core.entry.EntrySettings;
import org.hyssophitch.wire.concurrent.Pause;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.tinylog.Logger;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Hosts of a fleet freeze at once, among them all those through which the others read the store. */
public class FrozenRelaysTest extends RelayedFleetFixture {

    /** Number of hosts; more to measure what they ask of the store. */
    private static final int FLEET_SIZE = Integer.getInteger("fleet", 17);

    private static final long FREEZE_MILLIS = 4_000;
    private static final long CHANGE_MILLIS = 200;

    @DataProvider
    Object[][] furtherHosts() {
        return new Object[][] {{0}, {4}};
    }

    /** Hosts applied a configuration and a server's leaving up to 3.6 s late while their relays were frozen. */
    @Test(dataProvider = "furtherHosts")
    public void changeIsInForceInTimeWhileAllRelaysAreFrozen(int further) throws Exception {
        List<EntrySettings> fleet = startFleet(FLEET_SIZE);
        List<EntrySettings> relays = fleet.stream().filter(this::isRelay).toList();
        assertTrue(relays.size() >= 2, relays.size() + " relays");
        List<EntrySettings> others =
                fleet.stream().filter(s -> !relays.contains(s)).toList();
        relays.forEach(this::freeze);
        others.stream().limit(further).forEach(this::freeze);
        Thread.sleep(CHANGE_MILLIS);
        int before = store.calls().size();
        register("i-2", second, "svc", "draining", 3);
        configure(2, "svc", 1);
        Thread.sleep(APPLY_DEADLINE_MILLIS);
        Logger.info(
                "{} hosts asked the store {} times",
                others.size(),
                store.calls().size() - before);
        second.requests().clear();
        others.stream().skip(further).forEach(s -> assertAnsweredByFirst(s.host(), request(s, "/more1/x")));
        assertEquals(second.requests(), List.of());
    }

    private static void assertAnsweredByFirst(String host, String answer) {
        assertTrue(answer.endsWith("first"), host + " answered: " + answer);
    }

    private boolean isRelay(EntrySettings s) {
        return !send(s.addresses().peers(), "GET /objects/servers HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                .startsWith("HTTP/1.1 421");
    }

    /** Keeps a host from doing anything for a while; its sockets stay open. */
    private void freeze(EntrySettings s) {
        programs.stream().filter(p -> p.host().equals(s.host())).forEach(p -> p.loop()
                .execute(() -> Pause.millis(FREEZE_MILLIS)));
    }
}
