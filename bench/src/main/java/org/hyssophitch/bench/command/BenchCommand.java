package org.hyssophitch.bench.command;

/** One measurement. */
public interface BenchCommand {

    /**
     * Measures and prints.
     *
     * @return exit code
     * @throws Exception when the measurement can't be made
     */
    int execute() throws Exception;
}
