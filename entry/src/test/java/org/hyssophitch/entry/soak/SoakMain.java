package org.hyssophitch.entry.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.stream.LongStream;

/**
 * Runs soaks by hand. Arguments are the first and the last seed, and optionally the seconds of each run; or "faults"
 * and optionally the seconds, for one run with each fault of servers and no stops.
 */
final class SoakMain {

    private static final long MILLIS_PER_SECOND = 1_000;
    private static final int EXIT_HELD = 0;
    private static final int EXIT_BROKEN = 1;
    /** EX_USAGE of sysexits.h. */
    private static final int EXIT_INVALID_ARGUMENTS = 64;

    private SoakMain() {}

    public static void main(String[] arguments) throws IOException, InterruptedException {
        int code =
                switch (SoakArguments.parse(arguments)) {
                    case SoakArguments.SeedRuns a -> exitCode(runSeeds(a.first(), a.last(), a.seconds()));
                    case SoakArguments.FaultRuns a -> exitCode(runFaults(a.seconds()));
                    case SoakArguments.Invalid a -> {
                        System.err.println("bin/soak: " + a.problem());
                        yield EXIT_INVALID_ARGUMENTS;
                    }
                };
        System.exit(code);
    }

    private static int exitCode(boolean isHeld) {
        return isHeld ? EXIT_HELD : EXIT_BROKEN;
    }

    private static boolean runSeeds(long first, long last, long seconds) throws IOException, InterruptedException {
        boolean isHeld = true;
        for (long seed : LongStream.rangeClosed(first, last).toArray()) {
            isHeld &= run("seed-" + seed, SoakPlanner.plan(seed, seconds * MILLIS_PER_SECOND));
        }
        return isHeld;
    }

    private static boolean runFaults(long seconds) throws IOException, InterruptedException {
        boolean isHeld = true;
        for (ServerBehaviour.Fault fault : ServerBehaviour.Fault.values()) {
            System.out.print(fault + ": ");
            isHeld &= run("fault-" + fault, SoakPlanner.faultPlan(fault, seconds * MILLIS_PER_SECOND));
        }
        return isHeld;
    }

    private static boolean run(String name, SoakPlan plan) throws IOException, InterruptedException {
        Path directory = HostCommand.root().resolve("target/soak").resolve(name);
        SoakResult result = new Soak(plan, directory).run();
        System.out.println(result.verdict());
        return result.isHeld();
    }
}
