package org.hyssophitch.core.control;

import java.util.List;

import org.hyssophitch.core.health.SuspectRegister.Suspicion;

/**
 * What the local proxy tells its agent. Immutable.
 *
 * @param incarnation incarnation of the proxy process
 * @param isAccepting whether callers may be sent to it
 * @param callsInFlight calls without a final answer
 * @param configurationVersion version in force in the proxy
 * @param loads latest load reports that came with answers
 * @param suspicions new suspicions
 */
public record ProxyStatus(
        long incarnation,
        boolean isAccepting,
        int callsInFlight,
        long configurationVersion,
        List<AgedLoadReport> loads,
        List<Suspicion> suspicions) {}
