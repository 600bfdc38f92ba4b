package org.hyssophitch.core.control;

import java.util.List;

import org.hyssophitch.core.health.SuspectTracker.Suspicion;

/**
 * Status that the local proxy reports to its agent. Immutable.
 *
 * @param incarnation incarnation of the proxy process
 * @param isAccepting whether callers may be directed to the proxy
 * @param callsInFlight number of calls that have no final answer yet
 * @param configurationVersion version of the configuration in force in the proxy
 * @param loads latest load reports received in answers of backend servers
 * @param suspicions new suspicions of requests that crash backend servers
 */
public record ProxyStatus(
        long incarnation,
        boolean isAccepting,
        int callsInFlight,
        long configurationVersion,
        List<AgedLoadReport> loads,
        List<Suspicion> suspicions) {}
