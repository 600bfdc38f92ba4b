package org.hyssophitch.core.control;

import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.configuration.Configuration;

/** Output of the agent engine, to be carried out by the shell. Every action is immutable. */
public sealed interface AgentAction {

    /** Send a datagram. */
    record Send(String address, AgentMessage message) implements AgentAction {}

    /** Ask another agent what changed in its configuration since a version. */
    record FetchConfiguration(String address, long haveVersion) implements AgentAction {}

    /** Give the local proxy a configuration. */
    record PushConfiguration(Configuration configuration) implements AgentAction {}

    /** Tell the local proxy what else changed. */
    record PushUpdate(ProxyUpdate update) implements AgentAction {}

    /**
     * Ask a backend server for its load.
     *
     * @param server whom to ask
     * @param healthPath path at which the server tells its load
     */
    record Probe(BackendServer server, String healthPath) implements AgentAction {}
}
