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

/** Shows what a document would change. */
@Command(name = "diff", description = "shows what a document would change in the accepted one")
@Examples(
        examples = "hyssophitch diff document.yaml",
        descriptions = "lists the lines that differ, by service and route, defaults written out")
public final class DiffCommand implements ClientCommand {

    /**
     * One difference: the accepted value and the document's, where one may be missing. Immutable.
     *
     * @param service service that differs; empty for a route or the document's own fields
     * @param route route that differs; empty for a service or the document's own fields
     * @param removed lines that are accepted and not in the document
     * @param added lines that are in the document and not accepted
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
                System.err.println("the platform gives no answer");
                yield ExitCode.UNREACHABLE;
            }
        };
    }

    private ExitCode print(Configuration accepted, Configuration candidate) {
        List<Difference> differences = new ArrayList<>();
        difference("", "", header(accepted), header(candidate)).ifPresent(differences::add);
        names(accepted, candidate, DiffCommand::routeNames)
                .forEach(n -> difference("", n, routeLines(accepted, n), routeLines(candidate, n))
                        .ifPresent(differences::add));
        names(accepted, candidate, DiffCommand::serviceNames)
                .forEach(n -> difference(n, "", lines(accepted, n), lines(candidate, n))
                        .ifPresent(differences::add));
        String text = differences.stream().map(DiffCommand::describe).collect(Collectors.joining("\n"));
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

    private static List<String> header(Configuration c) {
        return written(c.withServices(List.of()).withRoutes(List.of()));
    }

    private static List<String> routeLines(Configuration c, String name) {
        List<Route> found =
                c.routes().stream().filter(r -> r.name().equals(name)).toList();
        return without(header(c), written(c.withServices(List.of()).withRoutes(found)));
    }

    private static List<String> written(Configuration c) {
        return DocumentWriter.write(c).lines().toList();
    }

    private static List<String> without(List<String> header, List<String> lines) {
        return lines.stream().filter(l -> !header.contains(l)).toList();
    }

    /** Returns a service's rules line by line, and each backend server as one line. */
    private static List<String> lines(Configuration c, String name) {
        List<String> lines = new ArrayList<>();
        c.service(name).ifPresent(s -> {
            Service rules = s.withServers(List.of());
            lines.addAll(
                    without(header(c), written(c.withServices(List.of(rules)).withRoutes(List.of()))));
            s.servers().forEach(b -> lines.add("  " + b));
        });
        return lines;
    }

    private static String describe(Difference d) {
        String removed = d.removed().stream().map(l -> "- " + l + "\n").collect(Collectors.joining());
        String added = d.added().stream().map(l -> "+ " + l + "\n").collect(Collectors.joining());
        return d.title() + ":\n" + removed + added;
    }
}
