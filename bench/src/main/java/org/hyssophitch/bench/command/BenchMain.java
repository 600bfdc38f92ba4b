package org.hyssophitch.bench.command;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;

/** Entry point of {@code bin/bench}, which runs benchmarks and simulations. */
public final class BenchMain {

    static final int EXIT_USAGE = 64;

    private BenchMain() {}

    /** Runs the subcommand that the arguments name. */
    public static void main(String[] arguments) throws Exception {
        CliBuilder<BenchCommand> builder = Cli.<BenchCommand>builder("bench")
                .withDescription("benchmarks and simulations of hyssophitch")
                .withDefaultCommand(HelpCommand.class);
        builder.withCommands(
                HelpCommand.class,
                PoliciesCommand.class,
                ChoicesCommand.class,
                AnswersCommand.class,
                ControlCommand.class,
                LatencyCommand.class,
                SlopesCommand.class,
                DayCommand.class,
                LimitsCommand.class);
        try {
            System.exit(builder.build().parse(arguments).execute());
        } catch (ParseException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_USAGE);
        }
    }

    /** Prints the usage of the subcommands. */
    @Command(name = "help", description = "prints the usage of the commands")
    public static final class HelpCommand extends Help<BenchCommand> implements BenchCommand {
        @Override
        public int execute() {
            run();
            return 0;
        }
    }
}
