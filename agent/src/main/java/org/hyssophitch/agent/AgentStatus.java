package org.hyssophitch.agent;

import java.util.List;

import org.hyssophitch.core.configuration.RegisteredServer;
import org.hyssophitch.core.membership.Member;

/**
 * What an agent tells operators about itself. Immutable.
 *
 * @param host name of the entry host
 * @param zone availability zone
 * @param incarnation incarnation of the agent process
 * @param configurationVersion version in force
 * @param revisionId identity of the write that made it
 * @param inForceSinceMicros since when it has been in force, in microseconds since the epoch
 * @param proxyConnected whether the local proxy is connected
 * @param watcher whether this host watches the configuration object
 * @param platformReachable whether the last call to the platform was answered
 * @param objectApiCalls calls to the platform so far
 * @param probesSent probes sent so far
 * @param controlBytesSent bytes sent to other agents so far
 * @param controlBytesReceived bytes of datagrams received so far
 * @param probeBudgetPerSecond probes that all entry hosts together may send per second
 * @param leavingServers backend servers that get no new work
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
