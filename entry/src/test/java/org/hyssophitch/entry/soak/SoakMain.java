package org.hyssophitch.entry.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.stream.LongStream;

/**
 * Runs soaks by hand. Arguments are the first and the last seed, and optionally the seconds of each run; or "faults"
 * and optionally the seconds, for one run with each fault of servers and no stops.
 */
final class SoakMain {

    private static final String FAULTS = "faults";
    private static final long DEFAULT_SECONDS = 60;
    private static final long DEFAULT_FAULT_SECONDS = 10;
    private static final long MILLIS_PER_SECOND = 1_000;

    private SoakMain() {}

    public static void main(String[] arguments) throws IOException, InterruptedException {
        boolean isHeld = arguments[0].equals(FAULTS)
                ? runFaults(argument(arguments, 1, DEFAULT_FAULT_SECONDS))
                : runSeeds(
                        Long.parseLong(arguments[0]),
                        argument(arguments, 1, Long.parseLong(arguments[0])),
                        argument(arguments, 2, DEFAULT_SECONDS));
        System.exit(isHeld ? 0 : 1);
    }

    private static long argument(String[] arguments, int index, long defaultValue) {
        return arguments.length > index ? Long.parseLong(arguments[index]) : defaultValue;
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
