package org.hyssophitch.console;

import java.util.Arrays;
import java.util.List;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.configuration.Criticality;
import org.hyssophitch.core.configuration.RoutingKind;
import org.hyssophitch.core.configuration.Service;
import org.hyssophitch.wire.yaml.YamlMapping;

/**
 * HTML form of a configuration: renders a configuration as form fields and converts submitted fields to a document.
 * Stateless.
 *
 * <p>The conversion does not validate the fields. Only the document reader validates, so that the console and the
 * command-line client reject the same documents with the same errors.
 */
final class DocumentForm {

    private static final List<String> BUDGET_FIELDS =
            List.of("probes-per-second-per-server", "probes-per-second-total", "bytes-per-second-total");
    private static final List<String> SERVICE_FIELDS =
            List.of("criticality", "routing", "sample-size", "health-path", "connection-limit");
    private static final List<String> RETRY_FIELDS =
            List.of("max-attempts", "retry-ratio", "hedge-ratio", "hedge-after-ms");
    private static final List<String> QUEUE_FIELDS = List.of("max-queued", "default-deadline-ms", "stall-ms");
    private static final List<String> SERVER_FIELDS = List.of("name", "address", "zone", "slots", "connection-limit");
    private static final int EMPTY_SERVER_ROWS = 1;

    private DocumentForm() {}

    /** Adds the form fields of a configuration. */
    static void render(Html html, Configuration c) {
        html.raw("<fieldset><legend>Budgets and addresses</legend>")
                .field("max entry hosts", "number", "max-entry-hosts", c.maxEntryHosts())
                .field(
                        "probes/s per server",
                        "number",
                        BUDGET_FIELDS.get(0),
                        c.probeBudget().probesPerSecondPerServer())
                .field(
                        "probes/s in total",
                        "number",
                        BUDGET_FIELDS.get(1),
                        c.probeBudget().probesPerSecondTotal())
                .field(
                        "probe bytes/s in total",
                        "number",
                        BUDGET_FIELDS.get(2),
                        c.probeBudget().bytesPerSecondTotal())
                .field(
                        "addresses per response",
                        "number",
                        "per-answer",
                        c.addresses().addressesPerAnswer())
                .field(
                        "address TTL (s)",
                        "number",
                        "keep-seconds",
                        c.addresses().ttlSeconds())
                .raw("</fieldset>");
        RouteForm.render(html, c);
        TeamForm.render(html, c);
        List<Service> services = c.services();
        IntStream.range(0, services.size()).forEach(i -> render(html, services.get(i), "s" + i + "."));
        html.raw("<input type=\"hidden\" name=\"services\" value=\"" + services.size() + "\">");
    }

    /**
     * Converts submitted form fields to a document.
     *
     * @param fields returns the submitted value of a field, empty if it is missing
     */
    static String toDocument(Function<String, String> fields) {
        StringBuilder text = new StringBuilder();
        appendLine(text, "", "max-entry-hosts", fields.apply("max-entry-hosts"));
        text.append("measuring:\n");
        BUDGET_FIELDS.forEach(f -> appendLine(text, "  ", f, fields.apply(f)));
        text.append("addresses:\n");
        List.of("per-answer", "keep-seconds").forEach(f -> appendLine(text, "  ", f, fields.apply(f)));
        RouteForm.append(text, fields);
        TeamForm.append(text, fields);
        text.append("services:\n");
        for (int i = 0; i < parseCount(fields.apply("services")); i++) {
            appendService(text, fields, "s" + i + ".");
        }
        return text.toString();
    }

    private static void render(Html html, Service s, String prefix) {
        html.raw("<fieldset><legend>Service ")
                .text(s.name())
                .raw("</legend>")
                .field("name", "text", prefix + "name", s.name())
                .select(
                        "criticality",
                        prefix + "criticality",
                        names(Criticality.values()),
                        YamlMapping.nameOf(s.criticality()))
                .select("routing", prefix + "routing", names(RoutingKind.values()), YamlMapping.nameOf(s.routing()))
                .field("sample size", "number", prefix + "sample-size", s.sampleSize())
                .field("load probe path", "text", prefix + "health-path", s.healthPath())
                .field("connection limit per server", "number", prefix + "connection-limit", s.connectionLimit())
                .raw("<br>")
                .field(
                        "max attempts",
                        "number",
                        prefix + "max-attempts",
                        s.retry().maxAttempts())
                .field(
                        "retries per call",
                        "number",
                        prefix + "retry-ratio",
                        s.retry().retryRatio())
                .field(
                        "hedges per call",
                        "number",
                        prefix + "hedge-ratio",
                        s.retry().hedgeRatio())
                .field(
                        "hedge after (ms)",
                        "number",
                        prefix + "hedge-after-ms",
                        s.retry().hedgeAfterMillis())
                .raw("<br>")
                .field(
                        "max queued calls",
                        "number",
                        prefix + "max-queued",
                        s.queue().maxQueued())
                .field(
                        "default deadline (ms)",
                        "number",
                        prefix + "default-deadline-ms",
                        s.queue().defaultDeadlineMillis())
                .field(
                        "stall timeout (ms)",
                        "number",
                        prefix + "stall-ms",
                        s.queue().stallMillis());
        html.raw("<table><tr><th>backend server</th><th>address</th><th>zone</th><th>slots</th>"
                + "<th>connection limit</th><th>draining</th></tr>");
        int rows = s.servers().size() + EMPTY_SERVER_ROWS;
        IntStream.range(0, rows).forEach(i -> renderServer(html, s, i, prefix + "b" + i + "."));
        html.raw("</table><input type=\"hidden\" name=\"" + prefix + "servers\" value=\"" + rows + "\"></fieldset>");
    }

    private static void renderServer(Html html, Service s, int index, String prefix) {
        boolean isNew = index >= s.servers().size();
        BackendServer b = isNew ? null : s.servers().get(index);
        html.raw("<tr><td>")
                .input("text", prefix + "name", isNew ? "" : b.name())
                .raw("</td><td>")
                .input("text", prefix + "address", isNew ? "" : b.host() + ":" + b.port())
                .raw("</td><td>")
                .input("text", prefix + "zone", isNew ? "" : b.zone())
                .raw("</td><td>")
                .input("number", prefix + "slots", isNew ? "" : b.slots())
                .raw("</td><td>")
                .input("number", prefix + "connection-limit", isNew ? "" : b.connectionLimit())
                .raw("</td><td><input type=\"checkbox\" name=\"" + prefix + "draining\" value=\"true\""
                        + (!isNew && b.draining() ? " checked" : "") + "></td></tr>");
    }

    private static void appendService(StringBuilder text, Function<String, String> fields, String prefix) {
        text.append("  - name: ").append(quote(fields.apply(prefix + "name"))).append('\n');
        SERVICE_FIELDS.forEach(f -> appendLine(text, "    ", f, fields.apply(prefix + f)));
        text.append("    retry:\n");
        RETRY_FIELDS.forEach(f -> appendLine(text, "      ", f, fields.apply(prefix + f)));
        text.append("    queue:\n");
        QUEUE_FIELDS.forEach(f -> appendLine(text, "      ", f, fields.apply(prefix + f)));
        text.append("    servers:\n");
        for (int i = 0; i < parseCount(fields.apply(prefix + "servers")); i++) {
            appendServer(text, fields, prefix + "b" + i + ".");
        }
    }

    /** Appends a backend server; a row without a name and an address was cleared or left empty and is skipped. */
    private static void appendServer(StringBuilder text, Function<String, String> fields, String prefix) {
        boolean isEmpty = fields.apply(prefix + "name").isBlank()
                && fields.apply(prefix + "address").isBlank();
        if (isEmpty) {
            return;
        }
        String entries = SERVER_FIELDS.stream()
                .filter(f -> !fields.apply(prefix + f).isBlank())
                .map(f -> f + ": " + quote(fields.apply(prefix + f)))
                .collect(Collectors.joining("\n        "));
        text.append("      - ").append(entries).append('\n');
        appendLine(
                text,
                "        ",
                "draining",
                Boolean.toString(fields.apply(prefix + "draining").equals("true")));
    }

    /** Appends a key with its value, unless the value is blank. */
    static void appendLine(StringBuilder text, String indent, String key, String value) {
        if (!value.isBlank()) {
            text.append(indent).append(key).append(": ").append(quote(value)).append('\n');
        }
    }

    /** Quotes values other than numbers and booleans, so that submitted text cannot change the document's structure. */
    static String quote(String value) {
        String stripped = value.strip();
        if (stripped.matches("-?\\d+(\\.\\d+)?|true|false")) {
            return stripped;
        }
        return '"' + stripped.replace("\\", "\\\\").replace("\"", "\\\"").replaceAll("\\s+", " ") + '"';
    }

    /** Parses the number of rows of a table; 0 if it is missing or malformed. */
    static int parseCount(String value) {
        return value.matches("\\d{1,5}") ? Integer.parseInt(value) : 0;
    }

    private static List<String> names(Enum<?>[] constants) {
        return Arrays.stream(constants).map(YamlMapping::nameOf).toList();
    }
}
