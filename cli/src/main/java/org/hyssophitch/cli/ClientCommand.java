package org.hyssophitch.cli;

/** One command of the client. */
public interface ClientCommand {

    /**
     * Executes the command.
     *
     * @return how it ended
     */
    ExitCode execute();
}
