package org.hyssophitch.standin.command;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import org.hyssophitch.standin.LoadRun;

/** Runs callers against a running deployment and checks what came back. */
@Command(name = "callers", description = "runs callers, checks their history and prints one JSON line")
public final class CallersCommand implements StandinCommand {

    private static final int EXIT_VIOLATED = 1;
    private static final double DOCUMENT_PROBES_PER_SECOND = 40;

    @AirlineModule
    private ProfileOption profile = new ProfileOption();

    @Option(name = "--callers", title = "number", description = "callers at the same time")
    private int callers = 24;

    @Option(name = "--calls", title = "number", description = "requests of all callers")
    private int calls = 4_000;

    @Option(name = "--seconds", title = "number", description = "how long to start requests, in place of a number")
    private int seconds;

    @Option(name = "--think-us", title = "microseconds", description = "mean pause of a caller between two requests")
    private long thinkMicros = 2_000;

    @Option(name = "--seed", title = "seed", description = "seed of the callers' choices")
    private long seed = 1;

    @Option(
            name = "--started-at",
            title = "epoch seconds",
            description = "when the first agent was started; without it probes are counted during the run")
    private long startedAtSeconds;

    @Option(name = "--faults", description = "gives backend servers faults meanwhile")
    private boolean hasFaults;

    @Override
    public int execute() throws Exception {
        LoadRun.Result result = new LoadRun(profile.deployment(), seed, hasFaults)
                .run(callers, hasMore(), thinkMicros, DOCUMENT_PROBES_PER_SECOND, startedAtSeconds * 1_000_000);
        System.out.println(result.json());
        return result.isGood() ? 0 : EXIT_VIOLATED;
    }

    private BooleanSupplier hasMore() {
        AtomicInteger left = new AtomicInteger(calls);
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        return seconds > 0 ? () -> System.nanoTime() < end : () -> left.getAndDecrement() > 0;
    }
}
