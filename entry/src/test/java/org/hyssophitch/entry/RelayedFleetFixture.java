package org.hyssophitch.entry;

import java.util.List;
import java.util.stream.IntStream;

import org.hyssophitch.core.entry.EntrySettings;

import static org.testng.Assert.fail;

/** Base class of tests with a fleet that is large enough for its hosts to read the store through each other. */
abstract class RelayedFleetFixture extends EntryProgramFixture {

    /** Time in milliseconds within which hosts that all start at once must serve and know each other. */
    private static final long RECOVERY_MILLIS = 15_000;

    /** Starts hosts that know each other, a configuration and two servers of one service. */
    List<EntrySettings> startFleet(int size) throws InterruptedException {
        configure(1, "svc");
        register("i-1", first, "svc", "ready");
        register("i-2", second, "svc", "ready");
        List<EntrySettings> fleet =
                IntStream.range(0, size).mapToObj(i -> settings("host-" + i)).toList();
        fleet.parallelStream().forEach(s -> {
            EntryProgram program = new EntryProgram(s, () -> fail("the event loop has ended"));
            synchronized (programs) {
                programs.add(program);
            }
            program.start();
        });
        await(() -> fleet.stream().allMatch(s -> ready(s) == 200), RECOVERY_MILLIS);
        await(() -> fleet.stream().allMatch(s -> addresses(s) == size), RECOVERY_MILLIS);
        // Each host still waits in a watch that it began before it knew the others.
        register("i-2", second, "svc", "ready", 2);
        configure(1, "svc", 0);
        Thread.sleep(APPLY_DEADLINE_MILLIS);
        return fleet;
    }

    private static int addresses(EntrySettings s) {
        return directory(s).split("127\\.0\\.0\\.1", -1).length - 1;
    }
}
