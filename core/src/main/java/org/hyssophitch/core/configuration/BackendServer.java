package org.hyssophitch.core.configuration;

import java.util.Objects;

/**
 * One backend server of a service, from the configuration document or its own registration. Immutable.
 *
 * <p>The component names are written to the JSON status of an agent.
 *
 * @param name name, unique within the whole configuration
 * @param host IP address to connect to
 * @param port TCP port to connect to
 * @param zone availability zone of the server
 * @param slots number of requests that the server runs concurrently
 * @param connectionLimit total number of connections that the server accepts
 * @param draining whether an operator has taken the server out of service
 * @param instance instance id that requests carry and the server checks; empty when it checks none
 */
public record BackendServer(
        String name,
        String host,
        int port,
        String zone,
        int slots,
        int connectionLimit,
        boolean draining,
        String instance) {

    /** Minimum number of connections per entry host: one for probes, one in use and one idle. */
    public static final int MIN_CONNECTIONS_PER_HOST = 3;

    private static final int PROBE_CONNECTIONS = 1;
    private static final int CONNECTIONS_PER_ATTEMPT = 2;

    /** Rejects null references. */
    public BackendServer {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(instance, "instance");
    }

    /** Creates a server that checks no instance id. */
    public BackendServer(
            String name, String host, int port, String zone, int slots, int connectionLimit, boolean draining) {
        this(name, host, port, zone, slots, connectionLimit, draining, "");
    }

    /** Returns this server with the given draining flag, or this instance when nothing changes. */
    public BackendServer withDraining(boolean value) {
        return value == draining
                ? this
                : new BackendServer(name, host, port, zone, slots, connectionLimit, value, instance);
    }

    /** Returns this server with the given connection limit, or this instance when nothing changes. */
    public BackendServer withConnectionLimit(int value) {
        return value == connectionLimit
                ? this
                : new BackendServer(name, host, port, zone, slots, value, draining, instance);
    }

    /**
     * Returns the maximum number of attempts that one entry host may have in flight to this server, so that the
     * connections of all entry hosts together never exceed the server's limit. Each entry host reserves one connection
     * of its share for probes and splits the rest between attempts in flight and the idle connections they leave.
     *
     * @param maxEntryHosts maximum number of entry hosts that may run at the same time
     */
    public int attemptLimit(int maxEntryHosts) {
        int share = connectionLimit / Math.max(1, maxEntryHosts);
        return Math.max(1, (share - PROBE_CONNECTIONS) / CONNECTIONS_PER_ATTEMPT);
    }
}
