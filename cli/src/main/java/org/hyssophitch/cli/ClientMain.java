package org.hyssophitch.cli;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;

/** Program {@code hyssophitch}: the operators' command-line client. */
public final class ClientMain {

    private ClientMain() {}

    /** Runs one command and exits with its {@link ExitCode}. */
    public static void main(String[] arguments) {
        System.exit(run(arguments).code());
    }

    static ExitCode run(String[] arguments) {
        CliBuilder<ClientCommand> builder = Cli.<ClientCommand>builder("hyssophitch")
                .withDescription("configures and inspects the hyssophitch load balancer")
                .withDefaultCommand(HelpCommand.class);
        builder.withCommands(
                HelpCommand.class,
                CheckCommand.class,
                ApplyCommand.class,
                GetCommand.class,
                DiffCommand.class,
                StatusCommand.class,
                ExplainCommand.class,
                TimelineCommand.class,
                WatchCommand.class,
                DrainCommand.class);
        try {
            return builder.build().parse(arguments).execute();
        } catch (ParseException e) {
            System.err.println(e.getMessage());
            return ExitCode.USAGE;
        }
    }

    /** Prints the help. */
    @Command(name = "help", description = "shows the usage of the commands")
    public static final class HelpCommand extends Help<ClientCommand> implements ClientCommand {
        @Override
        public ExitCode execute() {
            run();
            return ExitCode.OK;
        }
    }
}
