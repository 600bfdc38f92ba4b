package org.hyssophitch.bench.command;

import com.github.rvesse.airline.annotations.Command;
import org.hyssophitch.bench.AnswerBenchmark;
import org.openjdk.jmh.runner.RunnerException;

/** Measures the CPU time and allocation of decoding one answer with JMH. */
@Command(name = "answers", description = "nanoseconds and bytes allocated per decoded answer")
public final class AnswersCommand implements BenchCommand {

    @Override
    public int execute() throws RunnerException {
        Benchmarks.run(AnswerBenchmark.class);
        return 0;
    }
}
