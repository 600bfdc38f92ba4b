package org.hyssophitch.agent;

import java.util.List;

import org.hyssophitch.core.configuration.RegisteredServer;
import org.hyssophitch.core.membership.Member;

/**
 * Status of an agent for operators, served as JSON. Immutable.
 *
 * @param host name of the entry host
 * @param zone availability zone
 * @param incarnation incarnation of the agent process
 * @param configurationVersion version of the configuration in force
 * @param revisionId id of the write that created this version
 * @param inForceSinceMicros time when this version came into force, in microseconds since the epoch
 * @param proxyConnected whether the local proxy is connected
 * @param watcher whether this host watches the configuration object
 * @param platformReachable whether the last call to the platform succeeded
 * @param objectApiCalls number of calls to the platform so far
 * @param probesSent number of load probes sent so far
 * @param controlBytesSent number of bytes sent to other agents so far
 * @param controlBytesReceived number of bytes received in datagrams so far
 * @param probeBudgetPerSecond number of load probes that all entry hosts together may send per second
 * @param leavingServers names of the leaving backend servers, which get no new calls
 * @param registeredServers backend servers that registered themselves
 * @param members all known entry hosts
 */
public record AgentStatus(
        String host,
        String zone,
        long incarnation,
        long configurationVersion,
        String revisionId,
        long inForceSinceMicros,
        boolean proxyConnected,
        boolean watcher,
        boolean platformReachable,
        long objectApiCalls,
        long probesSent,
        long controlBytesSent,
        long controlBytesReceived,
        double probeBudgetPerSecond,
        List<String> leavingServers,
        List<RegisteredServer> registeredServers,
        List<Member> members) {}
