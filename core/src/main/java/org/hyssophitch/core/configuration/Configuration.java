package org.hyssophitch.core.configuration;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * One accepted configuration: everything that an operator can change about the system's behaviour. Immutable.
 *
 * @param version version that the object API gave the document; larger is newer
 * @param revisionId unique identity of the write, by which a writer recognises its own write after a lost answer
 * @param maxEntryHosts largest number of entry hosts that may run at the same time, replacements included
 * @param probeBudget budget for measuring load
 * @param addresses rule for the address answers to callers
 * @param services the services, in the order of the document
 * @param routes which requests go to which service, by host name and path
 * @param limits bounds on what callers may send
 */
public record Configuration(
        long version,
        String revisionId,
        int maxEntryHosts,
        ProbeBudget probeBudget,
        AddressRule addresses,
        List<Service> services,
        List<Route> routes,
        CallerLimits limits) {

    /** Configuration of a process that has not learnt one yet; it holds no services. */
    public static final Configuration NONE =
            new Configuration(0, "", 1, ProbeBudget.DEFAULT, AddressRule.DEFAULT, List.of());

    /** Checks that nothing is missing. */
    public Configuration {
        Objects.requireNonNull(revisionId, "revisionId");
        Objects.requireNonNull(limits, "limits");
        services = List.copyOf(services);
        routes = List.copyOf(routes);
    }

    /** Creates a configuration whose callers name the service in the path, so that it needs no routes. */
    public Configuration(
            long version,
            String revisionId,
            int maxEntryHosts,
            ProbeBudget probeBudget,
            AddressRule addresses,
            List<Service> services) {
        this(version, revisionId, maxEntryHosts, probeBudget, addresses, services, List.of(), CallerLimits.DEFAULT);
    }

    /** Returns this configuration with the version given, or this instance when nothing changes. */
    public Configuration withVersion(long value) {
        return value == version
                ? this
                : new Configuration(value, revisionId, maxEntryHosts, probeBudget, addresses, services, routes, limits);
    }

    /** Returns this configuration with the revision id given, or this instance when nothing changes. */
    public Configuration withRevisionId(String value) {
        return value.equals(revisionId)
                ? this
                : new Configuration(version, value, maxEntryHosts, probeBudget, addresses, services, routes, limits);
    }

    /** Returns this configuration with other services, or this instance when nothing changes. */
    public Configuration withServices(List<Service> value) {
        return value.equals(services)
                ? this
                : new Configuration(version, revisionId, maxEntryHosts, probeBudget, addresses, value, routes, limits);
    }

    /** Returns this configuration with the servers that registered themselves, by the name of their service. */
    public Configuration withRegistered(Map<String, List<RegisteredServer>> registered) {
        return withServices(services.stream()
                .map(s -> s.withRegistered(registered.getOrDefault(s.name(), List.of())))
                .toList());
    }

    /** Returns this configuration with other routes, or this instance when nothing changes. */
    public Configuration withRoutes(List<Route> value) {
        return value.equals(routes)
                ? this
                : new Configuration(
                        version, revisionId, maxEntryHosts, probeBudget, addresses, services, value, limits);
    }

    /** Returns whether this configuration replaces the other. */
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
