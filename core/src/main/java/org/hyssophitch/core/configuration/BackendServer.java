package org.hyssophitch.core.configuration;

import java.util.Objects;

/**
 * One backend server of a service, as the configuration document names it. Immutable.
 *
 * @param name name that is unique within the whole configuration
 * @param host IP address to connect to
 * @param port TCP port to connect to
 * @param zone availability zone that the server stands in
 * @param slots number of requests that the server runs at the same time
 * @param connectionLimit number of connections that the server accepts in total
 * @param draining whether an operator has taken the server out of service
 * @param instance identity that the server itself goes by, to be checked by it; empty when it checks none
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

    /** Connections that an entry host needs at the least: one for probes, one in use, one idle. */
    public static final int MIN_CONNECTIONS_PER_HOST = 3;

    private static final int PROBE_CONNECTIONS = 1;
    private static final int CONNECTIONS_PER_ATTEMPT = 2;

    /** Checks that nothing is missing. */
    public BackendServer {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(instance, "instance");
    }

    /** Creates a server that checks no identity. */
    public BackendServer(
            String name, String host, int port, String zone, int slots, int connectionLimit, boolean draining) {
        this(name, host, port, zone, slots, connectionLimit, draining, "");
    }

    /**
     * Returns this server with the given draining mark, or this instance when nothing changes.
     */
    public BackendServer withDraining(boolean value) {
        return value == draining
                ? this
                : new BackendServer(name, host, port, zone, slots, connectionLimit, value, instance);
    }

    /** Returns this server with another limit on connections, or this instance when nothing changes. */
    public BackendServer withConnectionLimit(int value) {
        return value == connectionLimit
                ? this
                : new BackendServer(name, host, port, zone, slots, value, draining, instance);
    }

    /**
     * Returns the attempts that one entry host may have in flight, so that the connections of all entry hosts never
     * sum above the server's limit. Of its share, an entry host keeps one connection for probes, and divides the rest
     * between attempts and the idle connections that they leave.
     *
     * @param maxEntryHosts largest number of entry hosts that may run at the same time
     */
    public int attemptLimit(int maxEntryHosts) {
        int share = connectionLimit / Math.max(1, maxEntryHosts);
        return Math.max(1, (share - PROBE_CONNECTIONS) / CONNECTIONS_PER_ATTEMPT);
    }
}
