package org.hyssophitch.core.control;

import java.util.List;
import java.util.Set;

import org.hyssophitch.core.health.SuspectRegister.Suspicion;
import org.hyssophitch.core.membership.Member;

/**
 * What the agent tells its local proxy. Immutable.
 *
 * @param members all known entry hosts
 * @param leaving names of the leaving backend servers
 * @param loads load reports that other entry hosts and probes gave
 * @param suspicions suspicions that other entry hosts shared
 */
public record ProxyUpdate(
        List<Member> members, Set<String> leaving, List<ReportedLoad> loads, List<Suspicion> suspicions) {}
