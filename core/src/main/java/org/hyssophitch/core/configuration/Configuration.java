package org.hyssophitch.core.configuration;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.hyssophitch.core.team.Team;

/**
 * An accepted configuration: all behaviour that an operator can change. Immutable.
 *
 * @param version version assigned by the object API; a larger version is newer
 * @param revisionId unique id of the write, by which a writer recognises its own write after a lost response
 * @param maxEntryHosts maximum number of entry hosts that may run at the same time, including replacements
 * @param probeBudget budget for load probes
 * @param addresses rule for the responses that tell callers which entry hosts to use
 * @param services services, in document order
 * @param routes mapping of requests to services by host name and path
 * @param limits limits on callers' requests
 * @param teams teams of callers; if there are any, a request needs an API key unless its route allows anonymous callers
 */
public record Configuration(
        long version,
        String revisionId,
        int maxEntryHosts,
        ProbeBudget probeBudget,
        AddressRule addresses,
        List<Service> services,
        List<Route> routes,
        CallerLimits limits,
        List<Team> teams) {

    /** Placeholder without services, used until a process has received its first configuration. */
    public static final Configuration NONE =
            new Configuration(0, "", 1, ProbeBudget.DEFAULT, AddressRule.DEFAULT, List.of());

    /** Rejects null references and copies the lists. */
    public Configuration {
        Objects.requireNonNull(revisionId, "revisionId");
        Objects.requireNonNull(limits, "limits");
        services = List.copyOf(services);
        routes = List.copyOf(routes);
        teams = List.copyOf(teams);
    }

    /** Creates a configuration without teams. */
    public Configuration(
            long version,
            String revisionId,
            int maxEntryHosts,
            ProbeBudget probeBudget,
            AddressRule addresses,
            List<Service> services,
            List<Route> routes,
            CallerLimits limits) {
        this(version, revisionId, maxEntryHosts, probeBudget, addresses, services, routes, limits, List.of());
    }

    /** Creates a configuration without routes, for callers that name the service in the request path. */
    public Configuration(
            long version,
            String revisionId,
            int maxEntryHosts,
            ProbeBudget probeBudget,
            AddressRule addresses,
            List<Service> services) {
        this(version, revisionId, maxEntryHosts, probeBudget, addresses, services, List.of(), CallerLimits.DEFAULT);
    }

    /** Returns this configuration with the given version, or this instance when nothing changes. */
    public Configuration withVersion(long value) {
        return value == version
                ? this
                : new Configuration(
                        value, revisionId, maxEntryHosts, probeBudget, addresses, services, routes, limits, teams);
    }

    /** Returns this configuration with the given revision id, or this instance when nothing changes. */
    public Configuration withRevisionId(String value) {
        return value.equals(revisionId)
                ? this
                : new Configuration(
                        version, value, maxEntryHosts, probeBudget, addresses, services, routes, limits, teams);
    }

    /** Returns this configuration with the given services, or this instance when nothing changes. */
    public Configuration withServices(List<Service> value) {
        return value.equals(services)
                ? this
                : new Configuration(
                        version, revisionId, maxEntryHosts, probeBudget, addresses, value, routes, limits, teams);
    }

    /** Returns this configuration with self-registered servers, given by service name, added to its services. */
    public Configuration withRegistered(Map<String, List<RegisteredServer>> registered) {
        return withServices(services.stream()
                .map(s -> s.withRegistered(registered.getOrDefault(s.name(), List.of())))
                .toList());
    }

    /** Returns this configuration with the given routes, or this instance when nothing changes. */
    public Configuration withRoutes(List<Route> value) {
        return value.equals(routes)
                ? this
                : new Configuration(
                        version, revisionId, maxEntryHosts, probeBudget, addresses, services, value, limits, teams);
    }

    /** Returns this configuration with the given teams, or this instance when nothing changes. */
    public Configuration withTeams(List<Team> value) {
        return value.equals(teams)
                ? this
                : new Configuration(
                        version, revisionId, maxEntryHosts, probeBudget, addresses, services, routes, limits, value);
    }

    /** Returns whether this configuration is newer than the other one. */
    public boolean isNewerThan(Configuration other) {
        return version > other.version;
    }

    /** Finds a service by name. */
    public Optional<Service> service(String name) {
        return services.stream().filter(s -> s.name().equals(name)).findFirst();
    }

    /** Returns all backend servers by name. */
    public Map<String, BackendServer> serversByName() {
        return services.stream()
                .flatMap(s -> s.servers().stream())
                .collect(Collectors.toMap(BackendServer::name, Function.identity()));
    }
}
