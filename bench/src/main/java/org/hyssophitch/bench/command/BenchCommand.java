package org.hyssophitch.bench.command;

/** A subcommand of {@code bin/bench}. */
public interface BenchCommand {

    /**
     * Runs the measurement and prints its results.
     *
     * @return exit code of the process
     * @throws Exception if the measurement fails
     */
    int execute() throws Exception;
}
