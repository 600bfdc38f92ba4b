package org.hyssophitch.standin.command;

/** A command of {@code hyssophitch-standin}. */
public interface StandinCommand {

    /**
     * Executes the command.
     *
     * @return exit code of the process
     * @throws Exception if the command fails
     */
    int execute() throws Exception;
}
