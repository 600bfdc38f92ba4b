package org.hyssophitch.standin.command;

/** One command of the stand-ins. */
public interface StandinCommand {

    /**
     * Executes the command.
     *
     * @return exit code
     * @throws Exception when the command can't do its work
     */
    int execute() throws Exception;
}
