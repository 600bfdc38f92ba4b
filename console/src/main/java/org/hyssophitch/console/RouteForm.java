package org.hyssophitch.console;

import java.util.List;
import java.util.function.Function;
import java.util.stream.IntStream;

import org.hyssophitch.core.configuration.CallerLimits;
import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.configuration.Route;

/** The part of the configuration form that holds the limits for callers and the routes. Stateless. */
final class RouteForm {

    private static final List<String> LIMIT_FIELDS =
            List.of("max-header-bytes", "max-body-bytes", "header-timeout-ms", "idle-timeout-ms");
    private static final List<String> ROUTE_FIELDS =
            List.of("host", "path-prefix", "timeout-ms", "target-latency-ms", "max-attempts", "priority");
    private static final int EMPTY_ROWS = 1;

    private RouteForm() {}

    /** Adds the fields of a configuration, with one empty route for a new one. */
    static void show(Html html, Configuration c) {
        CallerLimits l = c.limits();
        html.raw("<fieldset><legend>Callers</legend>")
                .field("largest head (bytes)", "number", LIMIT_FIELDS.get(0), l.maxHeaderBytes())
                .field("largest body (bytes)", "number", LIMIT_FIELDS.get(1), l.maxBodyBytes())
                .field("a head arrives within (ms)", "number", LIMIT_FIELDS.get(2), l.headerTimeoutMillis())
                .field("idle connections end after (ms)", "number", LIMIT_FIELDS.get(3), l.idleTimeoutMillis())
                .raw("</fieldset>");
        int rows = c.routes().size() + EMPTY_ROWS;
        IntStream.range(0, rows).forEach(i -> {
            boolean isNew = i >= c.routes().size();
            show(html, isNew ? null : c.routes().get(i), "r" + i + ".");
        });
        html.raw("<input type=\"hidden\" name=\"routes\" value=\"" + rows + "\">");
    }

    /** Adds what was typed to a document; a route without a name is one that was removed or never filled in. */
    static void write(StringBuilder text, Function<String, String> typed) {
        text.append("callers:\n");
        LIMIT_FIELDS.forEach(f -> DocumentForm.line(text, "  ", f, typed.apply(f)));
        List<String> filled = IntStream.range(0, DocumentForm.count(typed.apply("routes")))
                .mapToObj(i -> "r" + i + ".")
                .filter(p -> !typed.apply(p + "name").isBlank())
                .toList();
        text.append(filled.isEmpty() ? "routes: []\n" : "routes:\n");
        filled.forEach(p -> write(text, typed, p));
    }

    private static void show(Html html, Route r, String prefix) {
        boolean isNew = r == null;
        html.raw("<fieldset><legend>")
                .text(isNew ? "New route" : "Route " + r.name())
                .raw("</legend>")
                .field("name", "text", prefix + "name", isNew ? "" : r.name())
                .field("host", "text", prefix + "host", isNew ? "" : r.host())
                .field("path prefix", "text", prefix + "path-prefix", isNew ? "" : r.pathPrefix())
                .raw("<label>may run more than once <input type=\"checkbox\" name=\"" + prefix
                        + "idempotent\" value=\"true\"" + (!isNew && r.idempotent() ? " checked" : "") + "></label>")
                .field("time-out (ms)", "number", prefix + "timeout-ms", isNew ? "" : r.timeoutMillis())
                .field(
                        "wanted within (ms)",
                        "number",
                        prefix + "target-latency-ms",
                        isNew ? "" : r.targetLatencyMillis())
                .field("attempts at most", "number", prefix + "max-attempts", isNew ? "" : r.maxAttempts())
                .field("priority", "number", prefix + "priority", isNew ? "" : r.priority());
        List<Route.Destination> to = isNew ? List.of() : r.destinations();
        int rows = to.size() + EMPTY_ROWS;
        html.raw("<table><tr><th>service</th><th>weight</th></tr>");
        IntStream.range(0, rows).forEach(i -> {
            boolean isEmpty = i >= to.size();
            html.raw("<tr><td>")
                    .input(
                            "text",
                            prefix + "d" + i + ".service",
                            isEmpty ? "" : to.get(i).service())
                    .raw("</td><td>")
                    .input(
                            "number",
                            prefix + "d" + i + ".weight",
                            isEmpty ? "" : to.get(i).weight())
                    .raw("</td></tr>");
        });
        html.raw("</table><input type=\"hidden\" name=\"" + prefix + "destinations\" value=\"" + rows
                + "\"></fieldset>");
    }

    private static void write(StringBuilder text, Function<String, String> typed, String prefix) {
        text.append("  - name: ")
                .append(DocumentForm.quoted(typed.apply(prefix + "name")))
                .append('\n');
        ROUTE_FIELDS.forEach(f -> DocumentForm.line(text, "    ", f, typed.apply(prefix + f)));
        boolean isIdempotent = typed.apply(prefix + "idempotent").equals("true");
        DocumentForm.line(text, "    ", "idempotent", Boolean.toString(isIdempotent));
        text.append("    destinations:\n");
        IntStream.range(0, DocumentForm.count(typed.apply(prefix + "destinations")))
                .mapToObj(i -> prefix + "d" + i + ".")
                .filter(p -> !typed.apply(p + "service").isBlank())
                .forEach(p -> writeDestination(text, typed, p));
    }

    private static void writeDestination(StringBuilder text, Function<String, String> typed, String prefix) {
        text.append("      - service: ")
                .append(DocumentForm.quoted(typed.apply(prefix + "service")))
                .append('\n');
        DocumentForm.line(text, "        ", "weight", typed.apply(prefix + "weight"));
    }
}
