package org.hyssophitch.standin.command;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import org.hyssophitch.standin.LoadRun;

/** Runs simulated callers against a running deployment and checks their history. */
@Command(name = "callers", description = "runs simulated callers, checks their history and prints one JSON line")
public final class CallersCommand implements StandinCommand {

    private static final int EXIT_VIOLATION = 1;
    /** Same as {@code probes-per-second-total} in the document of {@code DeploymentFiles}. */
    private static final double PROBE_BUDGET_PER_SECOND = 40;

    @AirlineModule
    private ProfileOption profile = new ProfileOption();

    @Option(name = "--callers", title = "number", description = "number of concurrent callers")
    private int callers = 24;

    @Option(name = "--calls", title = "number", description = "total number of requests")
    private int calls = 4_000;

    @Option(name = "--seconds", title = "number", description = "seconds for which to start requests; replaces --calls")
    private int seconds;

    @Option(name = "--think-us", title = "microseconds", description = "mean pause of a caller between two requests")
    private long meanThinkMicros = 2_000;

    @Option(name = "--seed", title = "seed", description = "seed of the callers' random choices")
    private long seed = 1;

    @Option(
            name = "--started-at",
            title = "epoch seconds",
            description = "start time of the first agent; by default only probes during the run are counted")
    private long startedAtSeconds;

    @Option(name = "--faults", description = "injects faults into backend servers during the run")
    private boolean hasFaults;

    @Override
    public int execute() throws Exception {
        LoadRun.Result result = new LoadRun(profile.deployment(), seed, hasFaults)
                .run(callers, hasMore(), meanThinkMicros, PROBE_BUDGET_PER_SECOND, startedAtSeconds * 1_000_000);
        System.out.println(result.json());
        return result.isGood() ? 0 : EXIT_VIOLATION;
    }

    private BooleanSupplier hasMore() {
        AtomicInteger left = new AtomicInteger(calls);
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        return seconds > 0 ? () -> System.nanoTime() < end : () -> left.getAndDecrement() > 0;
    }
}
