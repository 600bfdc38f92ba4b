package org.hyssophitch.cli;

import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;

/** Prints the merged timeline of all processes. */
@Command(name = "timeline", description = "prints the events of all processes in causal order")
@Examples(
        examples = {"hyssophitch timeline --last 50", "hyssophitch timeline --type ConfigurationInForce"},
        descriptions = {
            "the latest 50 events of the whole system",
            "when each configuration came into force in each process"
        })
public final class TimelineCommand implements ClientCommand {

    @AirlineModule
    private ClientContext context = new ClientContext();

    @Option(name = "--request", title = "id", description = "only events of one request")
    private String request = "";

    @Option(name = "--type", title = "type", description = "only events of one type")
    private String type = "";

    @Option(name = "--last", title = "number", description = "maximum number of events; the latest are printed")
    private int last = 200;

    @Override
    public ExitCode execute() {
        TimelineReader reader = new TimelineReader(context);
        if (!reader.hasSources()) {
            System.err.println("no agent or proxy address is known");
            return ExitCode.UNREACHABLE;
        }
        List<EventView> events = reader.read(request).stream()
                .filter(e -> type.isEmpty() || e.type().equals(type))
                .toList();
        List<EventView> shown = events.subList(Math.max(0, events.size() - last), events.size());
        if (context.isJson()) {
            List<JsonNode> json = shown.stream().map(EventView::json).toList();
            context.printJson(json);
        } else {
            shown.forEach(e -> System.out.println(e.line()));
        }
        return shown.isEmpty() ? ExitCode.NOT_FOUND : ExitCode.OK;
    }
}
