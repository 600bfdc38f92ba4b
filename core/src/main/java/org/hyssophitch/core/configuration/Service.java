package org.hyssophitch.core.configuration;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * One service: its backend servers and the rules for routing, queueing and retrying its calls.
 *
 * <p>Immutable; created by {@link Builder}.
 */
public final class Service {

    /** Default total number of connections that a backend server accepts. */
    public static final int DEFAULT_CONNECTION_LIMIT = 220;
    /** Default path at which a backend server reports its load. */
    public static final String DEFAULT_HEALTH_PATH = "/load";

    private final String name;
    private final Criticality criticality;
    private final RoutingKind routing;
    private final int sampleSize;
    private final RetryRule retry;
    private final QueueRule queue;
    private final String healthPath;
    private final int connectionLimit;
    private final ColdRule cold;
    private final List<BackendServer> servers;

    private Service(Builder b) {
        name = Objects.requireNonNull(b.name, "name");
        criticality = b.criticality;
        routing = b.routing;
        sampleSize = b.sampleSize;
        retry = b.retry;
        queue = b.queue;
        healthPath = b.healthPath;
        connectionLimit = b.connectionLimit;
        cold = b.cold;
        servers = List.copyOf(b.servers);
    }

    /** Returns a builder for a service with the given name. */
    public static Builder builder(String name) {
        return new Builder(name);
    }

    /** Returns this service with the given routing policy, or this instance when nothing changes. */
    public Service withRouting(RoutingKind value) {
        return value == routing ? this : toBuilder().routing(value).build();
    }

    /** Returns this service with the given retry rule, or this instance when nothing changes. */
    public Service withRetry(RetryRule value) {
        return value.equals(retry) ? this : toBuilder().retry(value).build();
    }

    /** Returns this service with the given backend servers, or this instance when nothing changes. */
    public Service withServers(List<BackendServer> value) {
        return value.equals(servers) ? this : toBuilder().servers(value).build();
    }

    /**
     * Returns this service with self-registered servers added. A server that the configuration document lists takes
     * precedence over a registration of the same name.
     */
    public Service withRegistered(List<RegisteredServer> registered) {
        if (registered.isEmpty()) {
            return this;
        }
        Set<String> listed = servers.stream().map(BackendServer::name).collect(Collectors.toSet());
        Stream<BackendServer> added = registered.stream()
                .map(r -> r.server().withConnectionLimit(connectionLimit))
                .filter(s -> !listed.contains(s.name()));
        return withServers(Stream.concat(servers.stream(), added).toList());
    }

    public String name() {
        return name;
    }

    public Criticality criticality() {
        return criticality;
    }

    public RoutingKind routing() {
        return routing;
    }

    /** Returns the number of candidates that a sampling policy compares per choice. */
    public int sampleSize() {
        return sampleSize;
    }

    public RetryRule retry() {
        return retry;
    }

    public QueueRule queue() {
        return queue;
    }

    /** Returns the path at which a backend server reports its health and load. */
    public String healthPath() {
        return healthPath;
    }

    /** Returns the total number of connections that each self-registered server accepts. */
    public int connectionLimit() {
        return connectionLimit;
    }

    /** Returns what its servers take while they are cold. */
    public ColdRule cold() {
        return cold;
    }

    public List<BackendServer> servers() {
        return servers;
    }

    /** Returns a builder initialized with this service's values. */
    public Builder toBuilder() {
        return new Builder(name)
                .criticality(criticality)
                .routing(routing)
                .sampleSize(sampleSize)
                .retry(retry)
                .queue(queue)
                .healthPath(healthPath)
                .connectionLimit(connectionLimit)
                .cold(cold)
                .servers(servers);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Service s
                && name.equals(s.name)
                && criticality == s.criticality
                && routing == s.routing
                && sampleSize == s.sampleSize
                && retry.equals(s.retry)
                && queue.equals(s.queue)
                && healthPath.equals(s.healthPath)
                && connectionLimit == s.connectionLimit
                && cold.equals(s.cold)
                && servers.equals(s.servers);
    }

    @Override
    public int hashCode() {
        return Objects.hash(
                name, criticality, routing, sampleSize, retry, queue, healthPath, connectionLimit, cold, servers);
    }

    /** Builder of {@link Service}; not thread-safe. */
    public static final class Builder {
        private static final int DEFAULT_SAMPLE_SIZE = 32;

        private final String name;
        private Criticality criticality = Criticality.CRITICAL;
        private RoutingKind routing = RoutingKind.ESTIMATED_DELAY;
        private int sampleSize = DEFAULT_SAMPLE_SIZE;
        private RetryRule retry = RetryRule.DEFAULT;
        private QueueRule queue = QueueRule.DEFAULT;
        private String healthPath = DEFAULT_HEALTH_PATH;
        private int connectionLimit = DEFAULT_CONNECTION_LIMIT;
        private ColdRule cold = ColdRule.NONE;
        private List<BackendServer> servers = List.of();

        private Builder(String name) {
            this.name = name;
        }

        public Builder criticality(Criticality value) {
            criticality = value;
            return this;
        }

        public Builder routing(RoutingKind value) {
            routing = value;
            return this;
        }

        public Builder sampleSize(int value) {
            sampleSize = value;
            return this;
        }

        public Builder retry(RetryRule value) {
            retry = value;
            return this;
        }

        public Builder queue(QueueRule value) {
            queue = value;
            return this;
        }

        public Builder healthPath(String value) {
            healthPath = value;
            return this;
        }

        public Builder connectionLimit(int value) {
            connectionLimit = value;
            return this;
        }

        public Builder cold(ColdRule value) {
            cold = value;
            return this;
        }

        public Builder servers(List<BackendServer> value) {
            servers = value;
            return this;
        }

        public Service build() {
            return new Service(this);
        }
    }
}
