package org.hyssophitch.core.configuration;

import java.util.List;
import java.util.Objects;

/**
 * Rule for the requests of one host name below one path prefix. Immutable.
 *
 * @param name name of the route
 * @param host host name that the request is for, in lower case
 * @param pathPrefix beginning of the request's path; begins and ends with a slash
 * @param idempotent whether its requests may run more than once
 * @param timeoutMillis longest time in milliseconds from a request's arrival to its final answer
 * @param targetLatencyMillis time in milliseconds within which an answer is worth most to its caller
 * @param maxAttempts largest number of backend servers that one request may be sent to
 * @param priority rank among the routes; 0 is the highest
 * @param destinations services that share the requests by weight
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
        List<Destination> destinations) {

    /**
     * One service among those that share a route's requests. Immutable.
     *
     * @param service name of the service
     * @param weight share of the requests, relative to the other destinations
     */
    public record Destination(String service, int weight) {

        public Destination {
            Objects.requireNonNull(service, "service");
        }
    }

    /** Checks that nothing is missing. */
    public Route {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(pathPrefix, "pathPrefix");
        destinations = List.copyOf(destinations);
    }
}
