package org.hyssophitch.core.control;

import java.util.Optional;

import org.hyssophitch.core.configuration.RegisteredServer;

/**
 * One entry of the platform's host list, which may be stale. Immutable.
 *
 * @param name name of an entry host or a backend server
 * @param agentAddress address of an entry host's agent; empty for a backend server
 * @param isLeaving whether the platform is going to stop the host
 * @param registration registration of a backend server; empty for an entry host, and for a server defined in
 *     the configuration document
 */
public record ListedHost(String name, String agentAddress, boolean isLeaving, Optional<RegisteredServer> registration) {

    /** Creates an entry without a registration. */
    public ListedHost(String name, String agentAddress, boolean isLeaving) {
        this(name, agentAddress, isLeaving, Optional.empty());
    }
}
