package org.hyssophitch.bench.command;

import com.github.rvesse.airline.annotations.Command;
import org.hyssophitch.bench.ChoiceBenchmark;
import org.openjdk.jmh.runner.RunnerException;

/** Measures the CPU time and allocation of one server selection with JMH. */
@Command(name = "choices", description = "nanoseconds and bytes allocated per selection of a backend server")
public final class ChoicesCommand implements BenchCommand {

    @Override
    public int execute() throws RunnerException {
        Benchmarks.run(ChoiceBenchmark.class);
        return 0;
    }
}
