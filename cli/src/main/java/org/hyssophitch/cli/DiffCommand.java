package org.hyssophitch.cli;

import java.util.ArrayList;
import java.util.HashSet;
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
import org.hyssophitch.core.team.Team;
import org.hyssophitch.document.DocumentWriter;
import org.hyssophitch.wire.platform.ConfigurationRecords.ConfigurationRecord;
import org.hyssophitch.wire.platform.PlatformResult;

/** Compares a document with the accepted one. */
@Command(name = "diff", description = "compares a document with the accepted one")
@Examples(
        examples = "hyssophitch diff document.yaml",
        descriptions = "lists the lines that differ by service, route and team, with explicit defaults")
public final class DiffCommand implements ClientCommand {

    /**
     * Differences in one service, one route, one team or the document's own fields. Immutable.
     *
     * @param service service that differs; empty for anything else
     * @param route route that differs; empty for anything else
     * @param team team that differs, its keys as digests; empty for anything else
     * @param removed lines that only the accepted document has
     * @param added lines that only the new document has
     */
    record Difference(String service, String route, String team, List<String> removed, List<String> added) {

        private String title() {
            if (!route.isEmpty()) {
                return "route " + route;
            }
            if (!team.isEmpty()) {
                return "team " + team;
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
        difference("", "", "", headerLines(accepted), headerLines(candidate)).ifPresent(differences::add);
        names(accepted, candidate, DiffCommand::routeNames)
                .forEach(n -> difference("", n, "", routeLines(accepted, n), routeLines(candidate, n))
                        .ifPresent(differences::add));
        names(accepted, candidate, c -> c.teams().stream().map(Team::name))
                .forEach(n -> difference("", "", n, teamLines(accepted, n), teamLines(candidate, n))
                        .ifPresent(differences::add));
        names(accepted, candidate, DiffCommand::serviceNames)
                .forEach(n -> difference(n, "", "", serviceLines(accepted, n), serviceLines(candidate, n))
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
            String service, String route, String team, List<String> before, List<String> after) {
        List<String> removed = without(after, before);
        List<String> added = without(before, after);
        boolean isSame = removed.isEmpty() && added.isEmpty();
        return isSame ? Optional.empty() : Optional.of(new Difference(service, route, team, removed, added));
    }

    private static List<String> headerLines(Configuration c) {
        return documentLines(bare(c));
    }

    private static Configuration bare(Configuration c) {
        return c.withServices(List.of()).withRoutes(List.of()).withTeams(List.of());
    }

    private static List<String> teamLines(Configuration c, String name) {
        List<Team> found = c.teams().stream().filter(t -> t.name().equals(name)).toList();
        return without(headerLines(c), documentLines(bare(c).withTeams(found)));
    }

    private static List<String> routeLines(Configuration c, String name) {
        List<Route> found =
                c.routes().stream().filter(r -> r.name().equals(name)).toList();
        return without(headerLines(c), documentLines(bare(c).withRoutes(found)));
    }

    private static List<String> documentLines(Configuration c) {
        return DocumentWriter.write(c).lines().toList();
    }

    /** Returns the lines that aren't among others; these are indexed, since a team may have very many keys. */
    private static List<String> without(List<String> others, List<String> lines) {
        Set<String> known = new HashSet<>(others);
        return lines.stream().filter(l -> !known.contains(l)).toList();
    }

    /** Returns a service's own settings as document lines, followed by one line for each backend server. */
    private static List<String> serviceLines(Configuration c, String name) {
        List<String> lines = new ArrayList<>();
        c.service(name).ifPresent(s -> {
            Service withoutServers = s.withServers(List.of());
            lines.addAll(without(headerLines(c), documentLines(bare(c).withServices(List.of(withoutServers)))));
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
