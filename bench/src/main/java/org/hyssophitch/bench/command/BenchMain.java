package org.hyssophitch.bench.command;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;

/** Program {@code bin/bench}: measurements. */
public final class BenchMain {

    static final int EXIT_USAGE = 64;

    private BenchMain() {}

    /** Runs one measurement. */
    public static void main(String[] arguments) throws Exception {
        CliBuilder<BenchCommand> builder = Cli.<BenchCommand>builder("bench")
                .withDescription("measures hyssophitch")
                .withDefaultCommand(HelpCommand.class);
        builder.withCommands(
                HelpCommand.class,
                PoliciesCommand.class,
                ChoicesCommand.class,
                ControlCommand.class,
                LatencyCommand.class,
                SlopesCommand.class,
                DayCommand.class);
        try {
            System.exit(builder.build().parse(arguments).execute());
        } catch (ParseException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_USAGE);
        }
    }

    /** Prints the help. */
    @Command(name = "help", description = "shows how to use the commands")
    public static final class HelpCommand extends Help<BenchCommand> implements BenchCommand {
        @Override
        public int execute() {
            run();
            return 0;
        }
    }
}
