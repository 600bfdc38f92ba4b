package org.hyssophitch.cli;

/** A command of the command-line client. */
public interface ClientCommand {

    /**
     * Executes the command.
     *
     * @return exit code of the process
     */
    ExitCode execute();
}
