package org.hyssophitch.cli;

import java.util.List;
import java.util.concurrent.TimeUnit;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import io.reactivex.rxjava3.core.Flowable;

/** Shows decisions as they happen. */
@Command(name = "watch", description = "prints the events of all processes as they happen")
@Examples(
        examples = "hyssophitch watch --type ServerChosen --seconds 10",
        descriptions = "every choice of a backend server for ten seconds")
public final class WatchCommand implements ClientCommand {

    private static final long PERIOD_MILLIS = 300;

    @AirlineModule
    private ClientContext context = new ClientContext();

    @Option(name = "--type", title = "type", description = "only events of one type")
    private String type = "";

    @Option(name = "--seconds", title = "number", description = "how long; 0 until it is interrupted")
    private long seconds;

    @Override
    public ExitCode execute() {
        TimelineReader reader = new TimelineReader(context);
        if (!reader.hasProcesses()) {
            System.err.println("no process gives an answer");
            return ExitCode.UNREACHABLE;
        }
        reader.read("");
        Flowable<List<EventView>> readings = Flowable.interval(PERIOD_MILLIS, TimeUnit.MILLISECONDS)
                .onBackpressureDrop()
                .map(n -> reader.read(""));
        Flowable<List<EventView>> bounded = seconds > 0 ? readings.take(seconds, TimeUnit.SECONDS) : readings;
        bounded.flatMapIterable(events -> events)
                .filter(e -> type.isEmpty() || e.type().equals(type))
                .blockingForEach(e -> context.print(e.json(), e.line()));
        return ExitCode.OK;
    }
}
