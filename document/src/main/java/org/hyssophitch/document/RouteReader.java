package org.hyssophitch.document;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.hyssophitch.core.configuration.CallerLimits;
import org.hyssophitch.core.configuration.Route;
import org.hyssophitch.core.configuration.Route.Destination;
import org.hyssophitch.core.configuration.Service;
import org.hyssophitch.wire.yaml.Fault;
import org.hyssophitch.wire.yaml.YamlMapping;

/** Parses and validates the routes and the caller limits of a document. Not thread-safe; one instance per document. */
final class RouteReader {

    private static final String HOST_PATTERN = "[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?";
    private static final String HOST_HELP = "a host name in lower case, without a port";
    private static final String PREFIX_PATTERN = "/|/[!-~&&[^?#]]{0,510}/";
    private static final String PREFIX_HELP = "a path that begins and ends with a slash";
    private static final int DAY_MILLIS = 86_400_000;
    private static final int DEFAULT_TIMEOUT_MILLIS = 2_000;
    private static final int DEFAULT_MAX_ATTEMPTS = 2;
    private static final int MAX_ATTEMPTS = 16;
    private static final int LOWEST_PRIORITY = 100;
    private static final int MAX_WEIGHT = 1_000_000;
    private static final int MAX_HEADER_BYTES = 1_048_576;

    private final Set<String> services;
    private final DuplicateChecker duplicates = new DuplicateChecker();

    RouteReader(List<Service> services) {
        this.services = services.stream().map(Service::name).collect(Collectors.toSet());
    }

    List<Route> routes(YamlMapping document) {
        return document.list("routes", this::route);
    }

    static CallerLimits limits(YamlMapping m) {
        CallerLimits d = CallerLimits.DEFAULT;
        return new CallerLimits(
                m.integer("max-header-bytes", 256, MAX_HEADER_BYTES, d.maxHeaderBytes()),
                m.integer("max-body-bytes", 0, Integer.MAX_VALUE, (int) d.maxBodyBytes()),
                m.integer("header-timeout-ms", 1, DAY_MILLIS, d.headerTimeoutMillis()),
                m.integer("idle-timeout-ms", 1, DAY_MILLIS, d.idleTimeoutMillis()));
    }

    private Route route(YamlMapping m) {
        String name = m.name("name");
        duplicates.check(m, "name", "route", name);
        String host = m.text("host", HOST_PATTERN, HOST_HELP);
        String prefix = m.text("path-prefix", PREFIX_PATTERN, PREFIX_HELP, "/");
        duplicates.check(m, "path-prefix", "path prefix of " + host, prefix);
        int timeout = m.integer("timeout-ms", 1, DAY_MILLIS, DEFAULT_TIMEOUT_MILLIS);
        int targetLatency = m.integer("target-latency-ms", 1, DAY_MILLIS, timeout);
        if (targetLatency > timeout) {
            m.report(
                    Fault.Kind.CONTRADICTION,
                    "target-latency-ms",
                    Integer.toString(targetLatency),
                    "at most timeout-ms " + timeout);
        }
        return new Route(
                name,
                host,
                prefix,
                m.flag("idempotent", false),
                timeout,
                targetLatency,
                m.integer("max-attempts", 1, MAX_ATTEMPTS, DEFAULT_MAX_ATTEMPTS),
                m.integer("priority", 0, LOWEST_PRIORITY, 1),
                destinations(m),
                m.flag("allow-anonymous", false));
    }

    private List<Destination> destinations(YamlMapping m) {
        List<Destination> destinations = m.list("destinations", this::destination);
        boolean hasPositiveWeight = destinations.stream().anyMatch(d -> d.weight() > 0);
        if (destinations.isEmpty()) {
            m.report(Fault.Kind.MISSING_KEY, "destinations", "nothing", "a list of at least one service");
        } else if (!hasPositiveWeight) {
            m.report(Fault.Kind.CONTRADICTION, "destinations", "no weight above 0", "at least one weight above 0");
        }
        return destinations;
    }

    private Destination destination(YamlMapping m) {
        String service = m.name("service");
        if (!service.isEmpty() && !services.contains(service)) {
            m.report(Fault.Kind.CONTRADICTION, "service", service, "a service defined in this document");
        }
        return new Destination(service, m.integer("weight", 0, MAX_WEIGHT, 1));
    }
}
