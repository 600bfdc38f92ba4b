package org.hyssophitch.entry;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.hyssophitch.core.entry.EntrySettings;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests entry hosts with many routes, many registered servers, and a simultaneous start of all hosts. */
public class EntryProgramScaleTest extends EntryProgramFixture {

    /** Time in milliseconds after a loss of all hosts within which they must serve again. */
    private static final long RECOVERY_MILLIS = 15_000;

    private static final int FLEET_SIZE = 6;
    /** Maximum store calls per host and start: three kinds, each retried a few times while the store throttles. */
    private static final int MAX_STORE_CALLS_PER_START = 40;

    private static final int ROUTE_COUNT = 444;
    /** Number of backend servers expected in two years (docs/CAPACITY.md). */
    private static final int SERVER_COUNT = 31_000;

    /** Many routes are added at once, as when a team is onboarded; existing routes must keep working. */
    @Test
    public void appliesManyNewRoutesInTime() throws Exception {
        configure(1, "svc");
        register("i-1", first, "svc", "ready");
        start(settings);
        await(() -> request(settings, "/s/x").endsWith("first"));
        configure(2, "svc", ROUTE_COUNT);
        long acknowledged = System.nanoTime();
        await(() -> {
            assertTrue(request(settings, "/s/x").endsWith("first"));
            return request(settings, "/more" + ROUTE_COUNT + "/x").endsWith("first");
        });
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - acknowledged);
        assertTrue(millis <= APPLY_DEADLINE_MILLIS, "in force after " + millis + " ms");
        assertTrue(request(settings, "/more1/x").endsWith("first"));
        assertTrue(request(settings, "/more0/x").startsWith("HTTP/1.1 404"));
    }

    /** A starting host lists all servers page by page, and then applies a change to one of them in time. */
    @Test
    public void watchesTheNumberOfServersExpectedInTwoYears() throws Exception {
        configure(1, "svc");
        register("i-1", first, "svc", "ready");
        register("i-2", second, "svc", "ready");
        IntStream.range(0, SERVER_COUNT).forEach(i -> register("many-" + i, second, "other", "ready"));
        long started = System.nanoTime();
        start(settings);
        await(() -> request(settings, "/s/x").startsWith("HTTP/1.1 200"));
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - started);
        assertTrue(millis <= RECOVERY_MILLIS, "serves after " + millis + " ms");

        register("i-2", second, "svc", "draining");
        Thread.sleep(APPLY_DEADLINE_MILLIS);
        second.requests().clear();
        for (int i = 0; i < 10; i++) {
            assertTrue(request(settings, "/s/x").endsWith("first"));
        }
        assertEquals(second.requests(), List.of());
    }

    /** All hosts start at the same time while the store throttles: they must recover without overloading it. */
    @Test
    public void allHostsServeSoonAfterAFullRestart() throws Exception {
        configure(1, "svc");
        register("i-1", first, "svc", "ready");
        List<EntrySettings> fleet = IntStream.range(0, FLEET_SIZE)
                .mapToObj(i -> settings("host-" + i))
                .toList();
        store.setFailureMode(FakeStore.FailureMode.THROTTLING);
        long started = System.nanoTime();
        fleet.forEach(this::start);
        assertTrue(fleet.stream().allMatch(s -> request(s, "/s/x").startsWith("HTTP/1.1 503")));
        store.setFailureMode(FakeStore.FailureMode.NONE);
        await(() -> fleet.stream().allMatch(s -> request(s, "/s/x").endsWith("first")));
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - started);
        assertTrue(millis <= RECOVERY_MILLIS, "all serve after " + millis + " ms");
        int calls = store.calls().size();
        assertTrue(calls <= FLEET_SIZE * MAX_STORE_CALLS_PER_START, calls + " calls to the store");
    }
}
