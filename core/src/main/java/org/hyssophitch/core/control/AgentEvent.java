package org.hyssophitch.core.control;

import java.util.List;

import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.distribution.ConfigurationChange;
import org.hyssophitch.core.load.LoadReport;

/** Input of the agent engine. Every event is immutable and carries its time in microseconds. */
public sealed interface AgentEvent {

    /** Returns the time of the event in microseconds. */
    long nowMicros();

    /** Periodic timer tick. */
    record TimePassed(long nowMicros) implements AgentEvent {}

    /** A datagram from another agent arrived. */
    record MessageReceived(long nowMicros, AgentMessage message) implements AgentEvent {}

    /** The local proxy reported its status. */
    record ProxyReported(long nowMicros, ProxyStatus status) implements AgentEvent {}

    /** The connection to the local proxy ended. */
    record ProxyLost(long nowMicros) implements AgentEvent {}

    /** The configuration document was read from the object API. */
    record ConfigurationRead(long nowMicros, Configuration configuration) implements AgentEvent {}

    /** Another agent sent the requested configuration changes. */
    record ChangeReceived(long nowMicros, ConfigurationChange change) implements AgentEvent {}

    /** Fetching the configuration from another agent failed. */
    record FetchFailed(long nowMicros) implements AgentEvent {}

    /** The seed agents from the settings, used until the host list has been read. */
    record SeedsConfigured(long nowMicros, List<ListedHost> seeds) implements AgentEvent {}

    /** The host list was read from the platform. */
    record HostListRead(long nowMicros, List<ListedHost> hosts) implements AgentEvent {}

    /** A backend server answered a load probe. */
    record ProbeAnswered(long nowMicros, LoadReport report) implements AgentEvent {}

    /** An operator or the platform requested a stop: callers are directed to other entry hosts from now on. */
    record StopRequested(long nowMicros) implements AgentEvent {}

    /** The process is about to exit and announces to the other agents that it leaves. */
    record Left(long nowMicros) implements AgentEvent {}
}
