package org.hyssophitch.entry.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.stream.LongStream;

/** Runs soaks by hand: arguments are the first and the last seed, and optionally the seconds of each run. */
final class SoakMain {

    private static final long DEFAULT_SECONDS = 60;
    private static final long MILLIS_PER_SECOND = 1_000;

    private SoakMain() {}

    public static void main(String[] arguments) throws IOException, InterruptedException {
        long first = Long.parseLong(arguments[0]);
        long last = arguments.length > 1 ? Long.parseLong(arguments[1]) : first;
        long seconds = arguments.length > 2 ? Long.parseLong(arguments[2]) : DEFAULT_SECONDS;
        boolean isHeld = true;
        for (long seed : LongStream.rangeClosed(first, last).toArray()) {
            Path directory = HostCommand.root().resolve("target/soak/seed-" + seed);
            SoakResult result = new Soak(SoakPlanner.plan(seed, seconds * MILLIS_PER_SECOND), directory).run();
            System.out.println(result.verdict());
            isHeld &= result.isHeld();
        }
        System.exit(isHeld ? 0 : 1);
    }
}
