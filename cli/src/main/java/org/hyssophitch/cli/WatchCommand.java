package org.hyssophitch.cli;

import java.util.List;
import java.util.concurrent.TimeUnit;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import io.reactivex.rxjava3.core.Flowable;

/** Polls the timelines of all processes and prints new events. */
@Command(name = "watch", description = "prints the events of all processes as they happen")
@Examples(
        examples = "hyssophitch watch --type ServerChosen --seconds 10",
        descriptions = "every selection of a backend server for ten seconds")
public final class WatchCommand implements ClientCommand {

    private static final long POLL_PERIOD_MILLIS = 300;

    @AirlineModule
    private ClientContext context = new ClientContext();

    @Option(name = "--type", title = "type", description = "only events of one type")
    private String type = "";

    @Option(name = "--seconds", title = "number", description = "duration in seconds; 0 runs until interrupted")
    private long seconds;

    @Override
    public ExitCode execute() {
        TimelineReader reader = new TimelineReader(context);
        if (!reader.hasSources()) {
            System.err.println("no agent or proxy address is known");
            return ExitCode.UNREACHABLE;
        }
        reader.read("");
        Flowable<List<EventView>> polls = Flowable.interval(POLL_PERIOD_MILLIS, TimeUnit.MILLISECONDS)
                .onBackpressureDrop()
                .map(n -> reader.read(""));
        Flowable<List<EventView>> bounded = seconds > 0 ? polls.take(seconds, TimeUnit.SECONDS) : polls;
        bounded.flatMapIterable(events -> events)
                .filter(e -> type.isEmpty() || e.type().equals(type))
                .blockingForEach(e -> context.print(e.json(), e.line()));
        return ExitCode.OK;
    }
}
