package org.hyssophitch.standin.command;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;

/** Program {@code hyssophitch-standin}: fakes of the systems around hyssophitch. */
public final class StandinMain {

    private static final int EXIT_USAGE = 64;
    private static final int EXIT_FAILED = 1;

    private StandinMain() {}

    /** Runs one command. */
    public static void main(String[] arguments) {
        CliBuilder<StandinCommand> builder = Cli.<StandinCommand>builder("hyssophitch-standin")
                .withDescription("fakes of the platform, the backend servers and the callers")
                .withDefaultCommand(HelpCommand.class);
        builder.withCommands(
                HelpCommand.class,
                PrepareCommand.class,
                PlatformCommand.class,
                ServersCommand.class,
                CallersCommand.class,
                FaultCommand.class);
        try {
            System.exit(builder.build().parse(arguments).execute());
        } catch (ParseException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_USAGE);
        } catch (Exception e) {
            System.err.println(e);
            System.exit(EXIT_FAILED);
        }
    }

    /** Prints the help. */
    @Command(name = "help", description = "shows the usage of the commands")
    public static final class HelpCommand extends Help<StandinCommand> implements StandinCommand {
        @Override
        public int execute() {
            run();
            return 0;
        }
    }
}
