package org.hyssophitch.bench.command;

import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;

/** Runs JMH benchmarks in this process. Stateless. */
final class Benchmarks {

    private static final int ITERATIONS = 3;
    private static final TimeValue ITERATION_TIME = TimeValue.milliseconds(500);

    private Benchmarks() {}

    /** Measures the time and allocation of each benchmark of a class, and prints them. */
    static void run(Class<?> benchmark) throws RunnerException {
        new Runner(new OptionsBuilder()
                        .include(benchmark.getSimpleName())
                        .forks(0)
                        .warmupIterations(ITERATIONS)
                        .warmupTime(ITERATION_TIME)
                        .measurementIterations(ITERATIONS)
                        .measurementTime(ITERATION_TIME)
                        .addProfiler(GCProfiler.class)
                        .build())
                .run();
    }
}
