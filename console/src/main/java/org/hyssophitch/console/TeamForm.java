package org.hyssophitch.console;

import java.util.List;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.team.Team;
import org.hyssophitch.document.DocumentWriter;

/**
 * Part of the configuration form for teams. Keys are shown as digests; a new one may be entered in plain text.
 * Stateless.
 */
final class TeamForm {

    private static final List<String> FIELDS = List.of("priority", "requests-per-second", "burst");
    private static final int EMPTY_ROWS = 1;

    private TeamForm() {}

    /** Adds the form fields of a configuration, with an empty team for adding one. */
    static void render(Html html, Configuration c) {
        int rows = c.teams().size() + EMPTY_ROWS;
        IntStream.range(0, rows).forEach(i -> {
            boolean isNew = i >= c.teams().size();
            renderTeam(html, isNew ? null : c.teams().get(i), "t" + i + ".");
        });
        html.raw("<input type=\"hidden\" name=\"teams\" value=\"" + rows + "\">");
    }

    /** Appends the submitted fields to a document; a team without a name was cleared or left empty and is skipped. */
    static void append(StringBuilder text, Function<String, String> fields) {
        List<String> prefixes = IntStream.range(0, DocumentForm.parseCount(fields.apply("teams")))
                .mapToObj(i -> "t" + i + ".")
                .filter(p -> !fields.apply(p + "name").isBlank())
                .toList();
        text.append(prefixes.isEmpty() ? "teams: []\n" : "teams:\n");
        prefixes.forEach(p -> appendTeam(text, fields, p));
    }

    private static void renderTeam(Html html, Team t, String prefix) {
        boolean isNew = t == null;
        html.raw("<fieldset><legend>")
                .text(isNew ? "New team" : "Team " + t.name())
                .raw("</legend>")
                .field("name", "text", prefix + "name", isNew ? "" : t.name())
                .field("priority", "number", prefix + FIELDS.get(0), isNew ? "" : priority(t))
                .field("requests per second", "number", prefix + FIELDS.get(1), isNew ? "" : t.requestsPerSecond())
                .field("burst", "number", prefix + FIELDS.get(2), isNew ? "" : t.burst())
                .field(
                        "API keys, separated by spaces",
                        "text",
                        prefix + "api-keys",
                        isNew ? "" : String.join(" ", DocumentWriter.keys(t)))
                .raw("</fieldset>");
    }

    private static String priority(Team t) {
        return t.priority().isPresent() ? Integer.toString(t.priority().getAsInt()) : "";
    }

    private static void appendTeam(StringBuilder text, Function<String, String> fields, String prefix) {
        text.append("  - name: ")
                .append(DocumentForm.quote(fields.apply(prefix + "name")))
                .append('\n');
        FIELDS.forEach(f -> DocumentForm.appendLine(text, "    ", f, fields.apply(prefix + f)));
        String keys = Stream.of(fields.apply(prefix + "api-keys").split("\\s+"))
                .filter(k -> !k.isEmpty())
                .map(DocumentForm::quote)
                .collect(Collectors.joining(", "));
        text.append("    api-keys: [").append(keys).append("]\n");
    }
}
