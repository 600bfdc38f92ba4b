package org.hyssophitch.bench.command;

import com.github.rvesse.airline.annotations.Command;
import org.hyssophitch.bench.ChoiceBenchmark;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;

/** Measures the CPU time and allocation of one server selection with JMH. */
@Command(name = "choices", description = "nanoseconds and bytes allocated per selection of a backend server")
public final class ChoicesCommand implements BenchCommand {

    private static final int ITERATIONS = 3;

    @Override
    public int execute() throws RunnerException {
        new Runner(new OptionsBuilder()
                        .include(ChoiceBenchmark.class.getSimpleName())
                        .forks(0)
                        .warmupIterations(ITERATIONS)
                        .warmupTime(TimeValue.milliseconds(500))
                        .measurementIterations(ITERATIONS)
                        .measurementTime(TimeValue.milliseconds(500))
                        .addProfiler(GCProfiler.class)
                        .build())
                .run();
        return 0;
    }
}
