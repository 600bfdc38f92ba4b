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
 * The form of a configuration document: shows a configuration as fields, and turns what was typed back into a document.
 * Stateless.
 *
 * <p>What was typed becomes a document without being judged; only the document's reader judges, so that console and
 * command line refuse the same documents with the same faults.
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
    private static final int EMPTY_ROWS = 1;

    private DocumentForm() {}

    /** Adds the fields of a configuration. */
    static void show(Html html, Configuration c) {
        html.raw("<fieldset><legend>Budgets and addresses</legend>")
                .field("largest number of entry hosts", "number", "max-entry-hosts", c.maxEntryHosts())
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
                        "addresses per answer",
                        "number",
                        "per-answer",
                        c.addresses().addressesPerAnswer())
                .field(
                        "keep answers for (s)",
                        "number",
                        "keep-seconds",
                        c.addresses().ttlSeconds())
                .raw("</fieldset>");
        RouteForm.show(html, c);
        List<Service> services = c.services();
        IntStream.range(0, services.size()).forEach(i -> show(html, services.get(i), "s" + i + "."));
        html.raw("<input type=\"hidden\" name=\"services\" value=\"" + services.size() + "\">");
    }

    /** Returns the document of what was typed. */
    static String document(Function<String, String> typed) {
        StringBuilder text = new StringBuilder();
        line(text, "", "max-entry-hosts", typed.apply("max-entry-hosts"));
        text.append("measuring:\n");
        BUDGET_FIELDS.forEach(f -> line(text, "  ", f, typed.apply(f)));
        text.append("addresses:\n");
        List.of("per-answer", "keep-seconds").forEach(f -> line(text, "  ", f, typed.apply(f)));
        RouteForm.write(text, typed);
        text.append("services:\n");
        for (int i = 0; i < count(typed.apply("services")); i++) {
            service(text, typed, "s" + i + ".");
        }
        return text.toString();
    }

    private static void show(Html html, Service s, String prefix) {
        html.raw("<fieldset><legend>Service ")
                .text(s.name())
                .raw("</legend>")
                .field("name", "text", prefix + "name", s.name())
                .choice(
                        "criticality",
                        prefix + "criticality",
                        names(Criticality.values()),
                        YamlMapping.nameOf(s.criticality()))
                .choice("routing", prefix + "routing", names(RoutingKind.values()), YamlMapping.nameOf(s.routing()))
                .field("sample size", "number", prefix + "sample-size", s.sampleSize())
                .field("load is told at", "text", prefix + "health-path", s.healthPath())
                .field("connections per server", "number", prefix + "connection-limit", s.connectionLimit())
                .raw("<br>")
                .field(
                        "attempts at most",
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
                        "waiting calls at most",
                        "number",
                        prefix + "max-queued",
                        s.queue().maxQueued())
                .field(
                        "deadline (ms)",
                        "number",
                        prefix + "default-deadline-ms",
                        s.queue().defaultDeadlineMillis())
                .field(
                        "silent after (ms)",
                        "number",
                        prefix + "stall-ms",
                        s.queue().stallMillis());
        html.raw("<table><tr><th>backend server</th><th>address</th><th>zone</th><th>slots</th>"
                + "<th>connections</th><th>out of service</th></tr>");
        int rows = s.servers().size() + EMPTY_ROWS;
        IntStream.range(0, rows).forEach(i -> showServer(html, s, i, prefix + "b" + i + "."));
        html.raw("</table><input type=\"hidden\" name=\"" + prefix + "servers\" value=\"" + rows + "\"></fieldset>");
    }

    private static void showServer(Html html, Service s, int index, String prefix) {
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

    private static void service(StringBuilder text, Function<String, String> typed, String prefix) {
        text.append("  - name: ").append(quoted(typed.apply(prefix + "name"))).append('\n');
        SERVICE_FIELDS.forEach(f -> line(text, "    ", f, typed.apply(prefix + f)));
        text.append("    retry:\n");
        RETRY_FIELDS.forEach(f -> line(text, "      ", f, typed.apply(prefix + f)));
        text.append("    queue:\n");
        QUEUE_FIELDS.forEach(f -> line(text, "      ", f, typed.apply(prefix + f)));
        text.append("    servers:\n");
        for (int i = 0; i < count(typed.apply(prefix + "servers")); i++) {
            server(text, typed, prefix + "b" + i + ".");
        }
    }

    /** A row without a name and an address is one that was removed or never filled in. */
    private static void server(StringBuilder text, Function<String, String> typed, String prefix) {
        boolean isEmpty = typed.apply(prefix + "name").isBlank()
                && typed.apply(prefix + "address").isBlank();
        if (isEmpty) {
            return;
        }
        String fields = SERVER_FIELDS.stream()
                .filter(f -> !typed.apply(prefix + f).isBlank())
                .map(f -> f + ": " + quoted(typed.apply(prefix + f)))
                .collect(Collectors.joining("\n        "));
        text.append("      - ").append(fields).append('\n');
        line(
                text,
                "        ",
                "draining",
                Boolean.toString(typed.apply(prefix + "draining").equals("true")));
    }

    static void line(StringBuilder text, String indent, String key, String value) {
        if (!value.isBlank()) {
            text.append(indent).append(key).append(": ").append(quoted(value)).append('\n');
        }
    }

    /** Quotes what is neither number nor truth value, so that nothing typed can change the document's structure. */
    static String quoted(String value) {
        String typed = value.strip();
        if (typed.matches("-?\\d+(\\.\\d+)?|true|false")) {
            return typed;
        }
        return '"' + typed.replace("\\", "\\\\").replace("\"", "\\\"").replaceAll("\\s+", " ") + '"';
    }

    static int count(String value) {
        return value.matches("\\d{1,5}") ? Integer.parseInt(value) : 0;
    }

    private static List<String> names(Enum<?>[] constants) {
        return Arrays.stream(constants).map(YamlMapping::nameOf).toList();
    }
}
