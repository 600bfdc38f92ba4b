package org.hyssophitch.core.control;

import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.configuration.Configuration;

/** Output of the agent engine, which the surrounding process carries out. Every action is immutable. */
public sealed interface AgentAction {

    /** Sends a datagram to another agent. */
    record Send(String address, AgentMessage message) implements AgentAction {}

    /** Requests from another agent the configuration changes since a version. */
    record FetchConfiguration(String address, long haveVersion) implements AgentAction {}

    /** Sends a configuration to the local proxy. */
    record PushConfiguration(Configuration configuration) implements AgentAction {}

    /** Sends changes other than the configuration to the local proxy. */
    record PushUpdate(ProxyUpdate update) implements AgentAction {}

    /**
     * Probes a backend server for its load.
     *
     * @param server server to probe
     * @param healthPath path at which the server reports its load
     */
    record Probe(BackendServer server, String healthPath) implements AgentAction {}
}
