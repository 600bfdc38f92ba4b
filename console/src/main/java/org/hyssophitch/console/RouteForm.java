package org.hyssophitch.console;

import java.util.List;
import java.util.function.Function;
import java.util.stream.IntStream;

import org.hyssophitch.core.configuration.CallerLimits;
import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.configuration.Route;

/** Part of the configuration form for caller limits and routes. Stateless. */
final class RouteForm {

    private static final List<String> LIMIT_FIELDS =
            List.of("max-header-bytes", "max-body-bytes", "header-timeout-ms", "idle-timeout-ms");
    private static final List<String> ROUTE_FIELDS =
            List.of("host", "path-prefix", "timeout-ms", "target-latency-ms", "max-attempts", "priority");
    private static final int EMPTY_ROWS = 1;

    private RouteForm() {}

    /** Adds the form fields of a configuration, with an empty route for adding one. */
    static void render(Html html, Configuration c) {
        CallerLimits l = c.limits();
        html.raw("<fieldset><legend>Caller limits</legend>")
                .field("max header size (bytes)", "number", LIMIT_FIELDS.get(0), l.maxHeaderBytes())
                .field("max body size (bytes)", "number", LIMIT_FIELDS.get(1), l.maxBodyBytes())
                .field("header timeout (ms)", "number", LIMIT_FIELDS.get(2), l.headerTimeoutMillis())
                .field("idle timeout (ms)", "number", LIMIT_FIELDS.get(3), l.idleTimeoutMillis())
                .raw("</fieldset>");
        int rows = c.routes().size() + EMPTY_ROWS;
        IntStream.range(0, rows).forEach(i -> {
            boolean isNew = i >= c.routes().size();
            renderRoute(html, isNew ? null : c.routes().get(i), "r" + i + ".");
        });
        html.raw("<input type=\"hidden\" name=\"routes\" value=\"" + rows + "\">");
    }

    /** Appends the submitted fields to a document; a route without a name was cleared or left empty and is skipped. */
    static void append(StringBuilder text, Function<String, String> fields) {
        text.append("callers:\n");
        LIMIT_FIELDS.forEach(f -> DocumentForm.appendLine(text, "  ", f, fields.apply(f)));
        List<String> prefixes = IntStream.range(0, DocumentForm.parseCount(fields.apply("routes")))
                .mapToObj(i -> "r" + i + ".")
                .filter(p -> !fields.apply(p + "name").isBlank())
                .toList();
        text.append(prefixes.isEmpty() ? "routes: []\n" : "routes:\n");
        prefixes.forEach(p -> appendRoute(text, fields, p));
    }

    private static void renderRoute(Html html, Route r, String prefix) {
        boolean isNew = r == null;
        html.raw("<fieldset><legend>")
                .text(isNew ? "New route" : "Route " + r.name())
                .raw("</legend>")
                .field("name", "text", prefix + "name", isNew ? "" : r.name())
                .field("host", "text", prefix + "host", isNew ? "" : r.host())
                .field("path prefix", "text", prefix + "path-prefix", isNew ? "" : r.pathPrefix())
                .raw("<label>idempotent <input type=\"checkbox\" name=\"" + prefix + "idempotent\" value=\"true\""
                        + (!isNew && r.idempotent() ? " checked" : "") + "></label>")
                .raw("<label>anonymous callers <input type=\"checkbox\" name=\"" + prefix
                        + "allow-anonymous\" value=\"true\"" + (!isNew && r.allowAnonymous() ? " checked" : "")
                        + "></label>")
                .field("timeout (ms)", "number", prefix + "timeout-ms", isNew ? "" : r.timeoutMillis())
                .field(
                        "target latency (ms)",
                        "number",
                        prefix + "target-latency-ms",
                        isNew ? "" : r.targetLatencyMillis())
                .field("max attempts", "number", prefix + "max-attempts", isNew ? "" : r.maxAttempts())
                .field("priority", "number", prefix + "priority", isNew ? "" : r.priority());
        List<Route.Destination> destinations = isNew ? List.of() : r.destinations();
        int rows = destinations.size() + EMPTY_ROWS;
        html.raw("<table><tr><th>service</th><th>weight</th></tr>");
        IntStream.range(0, rows).forEach(i -> {
            boolean isEmpty = i >= destinations.size();
            html.raw("<tr><td>")
                    .input(
                            "text",
                            prefix + "d" + i + ".service",
                            isEmpty ? "" : destinations.get(i).service())
                    .raw("</td><td>")
                    .input(
                            "number",
                            prefix + "d" + i + ".weight",
                            isEmpty ? "" : destinations.get(i).weight())
                    .raw("</td></tr>");
        });
        html.raw("</table><input type=\"hidden\" name=\"" + prefix + "destinations\" value=\"" + rows
                + "\"></fieldset>");
    }

    private static void appendRoute(StringBuilder text, Function<String, String> fields, String prefix) {
        text.append("  - name: ")
                .append(DocumentForm.quote(fields.apply(prefix + "name")))
                .append('\n');
        ROUTE_FIELDS.forEach(f -> DocumentForm.appendLine(text, "    ", f, fields.apply(prefix + f)));
        boolean isIdempotent = fields.apply(prefix + "idempotent").equals("true");
        DocumentForm.appendLine(text, "    ", "idempotent", Boolean.toString(isIdempotent));
        boolean allowsAnonymous = fields.apply(prefix + "allow-anonymous").equals("true");
        DocumentForm.appendLine(text, "    ", "allow-anonymous", Boolean.toString(allowsAnonymous));
        text.append("    destinations:\n");
        IntStream.range(0, DocumentForm.parseCount(fields.apply(prefix + "destinations")))
                .mapToObj(i -> prefix + "d" + i + ".")
                .filter(p -> !fields.apply(p + "service").isBlank())
                .forEach(p -> appendDestination(text, fields, p));
    }

    private static void appendDestination(StringBuilder text, Function<String, String> fields, String prefix) {
        text.append("      - service: ")
                .append(DocumentForm.quote(fields.apply(prefix + "service")))
                .append('\n');
        DocumentForm.appendLine(text, "        ", "weight", fields.apply(prefix + "weight"));
    }
}
