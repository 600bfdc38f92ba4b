package org.hyssophitch.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.configuration.Route;
import org.hyssophitch.core.configuration.Service;
import org.hyssophitch.document.DocumentWriter;
import org.hyssophitch.wire.platform.ConfigurationRecords.ConfigurationRecord;
import org.hyssophitch.wire.platform.PlatformResult;

/** Compares a document with the accepted one. */
@Command(name = "diff", description = "compares a document with the accepted one")
@Examples(
        examples = "hyssophitch diff document.yaml",
        descriptions = "lists the lines that differ by service and route, with explicit defaults")
public final class DiffCommand implements ClientCommand {

    /**
     * Differences in one service, in one route or in the document's own fields. Immutable.
     *
     * @param service service that differs; empty for a route or the document's own fields
     * @param route route that differs; empty for a service or the document's own fields
     * @param removed lines that only the accepted document has
     * @param added lines that only the new document has
     */
    record Difference(String service, String route, List<String> removed, List<String> added) {

        private String title() {
            if (!route.isEmpty()) {
                return "route " + route;
            }
            return service.isEmpty() ? "document" : "service " + service;
        }
    }

    @AirlineModule
    private ClientContext context = new ClientContext();

    @Arguments(title = "file", description = "document to compare")
    @Required
    private String file;

    @Override
    public ExitCode execute() {
        return DocumentFile.withValid(context, file, (text, configuration) -> compare(configuration));
    }

    private ExitCode compare(Configuration candidate) {
        return switch (context.documents().read()) {
            case PlatformResult.Found<ConfigurationRecord> f -> print(f.value().configuration(), candidate);
            case PlatformResult.Absent<ConfigurationRecord> a -> print(Configuration.NONE, candidate);
            default -> {
                System.err.println("cannot read the document from the platform");
                yield ExitCode.UNREACHABLE;
            }
        };
    }

    private ExitCode print(Configuration accepted, Configuration candidate) {
        List<Difference> differences = new ArrayList<>();
        difference("", "", headerLines(accepted), headerLines(candidate)).ifPresent(differences::add);
        names(accepted, candidate, DiffCommand::routeNames)
                .forEach(n -> difference("", n, routeLines(accepted, n), routeLines(candidate, n))
                        .ifPresent(differences::add));
        names(accepted, candidate, DiffCommand::serviceNames)
                .forEach(n -> difference(n, "", serviceLines(accepted, n), serviceLines(candidate, n))
                        .ifPresent(differences::add));
        String text = differences.stream().map(DiffCommand::format).collect(Collectors.joining("\n"));
        context.print(differences, differences.isEmpty() ? "no difference" : text);
        return ExitCode.OK;
    }

    private static Set<String> names(
            Configuration a, Configuration b, Function<Configuration, Stream<String>> namesOf) {
        return Stream.concat(namesOf.apply(a), namesOf.apply(b)).collect(Collectors.toCollection(TreeSet::new));
    }

    private static Stream<String> serviceNames(Configuration c) {
        return c.services().stream().map(Service::name);
    }

    private static Stream<String> routeNames(Configuration c) {
        return c.routes().stream().map(Route::name);
    }

    private static Optional<Difference> difference(
            String service, String route, List<String> before, List<String> after) {
        List<String> removed = before.stream().filter(l -> !after.contains(l)).toList();
        List<String> added = after.stream().filter(l -> !before.contains(l)).toList();
        boolean isSame = removed.isEmpty() && added.isEmpty();
        return isSame ? Optional.empty() : Optional.of(new Difference(service, route, removed, added));
    }

    private static List<String> headerLines(Configuration c) {
        return documentLines(c.withServices(List.of()).withRoutes(List.of()));
    }

    private static List<String> routeLines(Configuration c, String name) {
        List<Route> found =
                c.routes().stream().filter(r -> r.name().equals(name)).toList();
        return without(headerLines(c), documentLines(c.withServices(List.of()).withRoutes(found)));
    }

    private static List<String> documentLines(Configuration c) {
        return DocumentWriter.write(c).lines().toList();
    }

    private static List<String> without(List<String> header, List<String> lines) {
        return lines.stream().filter(l -> !header.contains(l)).toList();
    }

    /** Returns a service's own settings as document lines, followed by one line for each backend server. */
    private static List<String> serviceLines(Configuration c, String name) {
        List<String> lines = new ArrayList<>();
        c.service(name).ifPresent(s -> {
            Service withoutServers = s.withServers(List.of());
            lines.addAll(without(
                    headerLines(c),
                    documentLines(c.withServices(List.of(withoutServers)).withRoutes(List.of()))));
            s.servers().forEach(b -> lines.add("  " + b));
        });
        return lines;
    }

    private static String format(Difference d) {
        String removed = d.removed().stream().map(l -> "- " + l + "\n").collect(Collectors.joining());
        String added = d.added().stream().map(l -> "+ " + l + "\n").collect(Collectors.joining());
        return d.title() + ":\n" + removed + added;
    }
}
