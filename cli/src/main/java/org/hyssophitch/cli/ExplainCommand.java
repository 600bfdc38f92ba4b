package org.hyssophitch.cli;

import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;

/** Prints the routing decisions that were made for one request. */
@Command(name = "explain", description = "explains the routing decisions for a request")
@Examples(
        examples = "hyssophitch explain t~entry-03~q1w2e3~1f",
        descriptions = "each attempt with its candidates, their reported load and its age")
public final class ExplainCommand implements ClientCommand {

    @AirlineModule
    private ClientContext context = new ClientContext();

    @Arguments(title = "request id", description = "request to explain")
    @Required
    private String requestId;

    @Override
    public ExitCode execute() {
        TimelineReader reader = new TimelineReader(context);
        if (!reader.hasSources()) {
            System.err.println("no agent or proxy address is known");
            return ExitCode.UNREACHABLE;
        }
        List<EventView> events = reader.read(requestId);
        if (events.isEmpty()) {
            System.err.println("no process has events of request " + requestId);
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
                    formatReport(c),
                    c.get("score").asDouble()));
        }
    }

    private static String formatReport(JsonNode candidate) {
        if (candidate.get("reportedInFlight").asInt() < 0) {
            return "nothing";
        }
        double ageMillis = candidate.get("reportAgeMicros").asLong() / (double) TimeUnit.MILLISECONDS.toMicros(1);
        return String.format(
                "%d, %.1f ms ago", candidate.get("reportedInFlight").asInt(), ageMillis);
    }
}
