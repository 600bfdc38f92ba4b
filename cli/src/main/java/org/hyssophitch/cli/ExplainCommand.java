package org.hyssophitch.cli;

import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;

/** Explains why one request went where it did. */
@Command(name = "explain", description = "tells why a request went where it did")
@Examples(
        examples = "hyssophitch explain t~entry-03~q1w2e3~1f",
        descriptions = "each attempt, its candidates, what was known of them and how old that was")
public final class ExplainCommand implements ClientCommand {

    @AirlineModule
    private ClientContext context = new ClientContext();

    @Arguments(title = "request id", description = "request to explain")
    @Required
    private String requestId;

    @Override
    public ExitCode execute() {
        TimelineReader reader = new TimelineReader(context);
        if (!reader.hasProcesses()) {
            System.err.println("no process gives an answer");
            return ExitCode.UNREACHABLE;
        }
        List<EventView> events = reader.read(requestId);
        if (events.isEmpty()) {
            System.err.println("no process remembers request " + requestId);
            return ExitCode.NOT_FOUND;
        }
        if (context.isJson()) {
            context.printJson(events.stream().map(EventView::json).toList());
        } else {
            events.forEach(ExplainCommand::print);
        }
        return ExitCode.OK;
    }

    private static void print(EventView e) {
        System.out.println(e.line());
        JsonNode candidates = e.body().get("candidates");
        if (candidates != null) {
            candidates.forEach(c -> System.out.printf(
                    "    %-20s %-14s own in flight %d, reported %s, score %.0f%n",
                    c.get("server").asText(),
                    c.get("verdict").asText(),
                    c.get("inFlight").asInt(),
                    reported(c),
                    c.get("score").asDouble()));
        }
    }

    private static String reported(JsonNode c) {
        if (c.get("reportedInFlight").asInt() < 0) {
            return "nothing";
        }
        double ageMillis = c.get("reportAgeMicros").asLong() / (double) TimeUnit.MILLISECONDS.toMicros(1);
        return String.format("%d, %.1f ms ago", c.get("reportedInFlight").asInt(), ageMillis);
    }
}
