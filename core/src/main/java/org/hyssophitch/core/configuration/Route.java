package org.hyssophitch.core.configuration;

import java.util.List;
import java.util.Objects;

/**
 * Rule for requests to one host name under one path prefix. Immutable.
 *
 * @param name name of the route
 * @param host host name of the request, in lower case
 * @param pathPrefix prefix of the request path; begins and ends with a slash
 * @param idempotent whether its requests may be executed more than once
 * @param timeoutMillis maximum time in milliseconds from a request's arrival to its final response
 * @param targetLatencyMillis latency in milliseconds within which a response has its full value to the caller
 * @param maxAttempts maximum number of backend servers that one request may be sent to
 * @param priority priority among the routes; 0 is the highest
 * @param destinations services among which requests are split by weight
 * @param allowAnonymous whether its requests need no API key
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        boolean idempotent,
        int timeoutMillis,
        int targetLatencyMillis,
        int maxAttempts,
        int priority,
        List<Destination> destinations,
        boolean allowAnonymous) {

    /**
     * One of the services among which a route's requests are split. Immutable.
     *
     * @param service name of the service
     * @param weight weight relative to the other destinations
     */
    public record Destination(String service, int weight) {

        public Destination {
            Objects.requireNonNull(service, "service");
        }
    }

    /** Rejects null references and copies the destinations. */
    public Route {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(pathPrefix, "pathPrefix");
        destinations = List.copyOf(destinations);
    }

    /** Creates a route whose requests need an API key if the configuration has teams. */
    public Route(
            String name,
            String host,
            String pathPrefix,
            boolean idempotent,
            int timeoutMillis,
            int targetLatencyMillis,
            int maxAttempts,
            int priority,
            List<Destination> destinations) {
        this(
                name,
                host,
                pathPrefix,
                idempotent,
                timeoutMillis,
                targetLatencyMillis,
                maxAttempts,
                priority,
                destinations,
                false);
    }

    /** Returns this route with the given rule for anonymous callers, or this instance when nothing changes. */
    public Route withAllowAnonymous(boolean value) {
        return value == allowAnonymous
                ? this
                : new Route(
                        name,
                        host,
                        pathPrefix,
                        idempotent,
                        timeoutMillis,
                        targetLatencyMillis,
                        maxAttempts,
                        priority,
                        destinations,
                        value);
    }
}
