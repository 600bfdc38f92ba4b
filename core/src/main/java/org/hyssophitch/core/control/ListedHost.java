package org.hyssophitch.core.control;

import java.util.Optional;

import org.hyssophitch.core.configuration.RegisteredServer;

/**
 * One entry of the platform's host list, which may lag. Immutable.
 *
 * @param name name of an entry host or a backend server
 * @param agentAddress address of an entry host's agent; empty for a backend server
 * @param isLeaving whether the platform is about to stop the host
 * @param registration what a backend server registered; empty for an entry host, and for a server of the document
 */
public record ListedHost(String name, String agentAddress, boolean isLeaving, Optional<RegisteredServer> registration) {

    /** Creates an entry that registers nothing. */
    public ListedHost(String name, String agentAddress, boolean isLeaving) {
        this(name, agentAddress, isLeaving, Optional.empty());
    }
}
