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
 */
public record BackendServer(
        String name, String host, int port, String zone, int slots, int connectionLimit, boolean draining) {

    public BackendServer {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(zone, "zone");
    }

    /**
     * Returns this server with the given draining mark, or this instance when nothing changes.
     */
    public BackendServer withDraining(boolean value) {
        return value == draining ? this : new BackendServer(name, host, port, zone, slots, connectionLimit, value);
    }

    /**
     * Returns the connections that one entry host may open, so that the shares of all entry hosts never sum above
     * the server's limit.
     *
     * @param maxEntryHosts largest number of entry hosts that may run at the same time
     */
    public int connectionShare(int maxEntryHosts) {
        return Math.max(1, connectionLimit / Math.max(1, maxEntryHosts));
    }
}
