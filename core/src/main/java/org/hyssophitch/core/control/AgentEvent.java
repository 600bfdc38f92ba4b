package org.hyssophitch.core.control;

import java.util.List;

import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.load.LoadReport;
import org.hyssophitch.core.spread.ConfigurationChange;

/** Input of the agent engine. Every event is immutable and carries its time in microseconds. */
public sealed interface AgentEvent {

    /** Returns the time of the event in microseconds. */
    long nowMicros();

    /** Time passed. */
    record TimePassed(long nowMicros) implements AgentEvent {}

    /** A datagram of another agent arrived. */
    record MessageReceived(long nowMicros, AgentMessage message) implements AgentEvent {}

    /** The local proxy told its status. */
    record ProxyReported(long nowMicros, ProxyStatus status) implements AgentEvent {}

    /** The connection to the local proxy ended. */
    record ProxyLost(long nowMicros) implements AgentEvent {}

    /** The object API delivered the configuration document. */
    record ConfigurationRead(long nowMicros, Configuration configuration) implements AgentEvent {}

    /** Another agent delivered what changed in its configuration. */
    record ChangeReceived(long nowMicros, ConfigurationChange change) implements AgentEvent {}

    /** Another agent could not be asked for its configuration. */
    record FetchFailed(long nowMicros) implements AgentEvent {}

    /** The settings name agents to begin with, while no host list is known. */
    record SeedsConfigured(long nowMicros, List<ListedHost> seeds) implements AgentEvent {}

    /** The platform delivered its host list. */
    record HostListRead(long nowMicros, List<ListedHost> hosts) implements AgentEvent {}

    /** A probe was answered. */
    record ProbeAnswered(long nowMicros, LoadReport report) implements AgentEvent {}

    /** An operator or the platform asked this process to stop: callers are sent elsewhere from now on. */
    record StopRequested(long nowMicros) implements AgentEvent {}

    /** The process is about to end: the other agents are told. */
    record Left(long nowMicros) implements AgentEvent {}
}
