package org.hyssophitch.core.control;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.hyssophitch.core.configuration.RegisteredServer;
import org.hyssophitch.core.health.SuspectTracker.Suspicion;
import org.hyssophitch.core.membership.Member;

/**
 * Update that the agent sends to its local proxy. Immutable.
 *
 * @param members all known entry hosts
 * @param leaving names of the leaving backend servers
 * @param loads changed load reports, from other entry hosts, from probes and from the proxy itself
 * @param suspicions new suspicions received from other entry hosts
 * @param registrations backend servers that registered themselves; empty when they did not change
 */
public record ProxyUpdate(
        List<Member> members,
        Set<String> leaving,
        List<AgedLoadReport> loads,
        List<Suspicion> suspicions,
        Optional<Registrations> registrations) {

    /**
     * Backend servers that registered themselves.
     *
     * @param isComplete whether the list contains every registered server; false until the agent has read the
     *     platform's host list
     * @param servers registered servers
     * @param gone names of servers whose registration was removed
     */
    public record Registrations(boolean isComplete, List<RegisteredServer> servers, Set<String> gone) {

        public Registrations {
            servers = List.copyOf(servers);
            gone = Set.copyOf(gone);
        }

        /** Updates the servers known to a proxy; an incomplete list leaves servers that it doesn't name unchanged. */
        public void applyTo(Map<String, RegisteredServer> known) {
            if (isComplete) {
                known.clear();
            }
            known.keySet().removeAll(gone);
            servers.forEach(s -> known.put(s.server().name(), s));
        }
    }
}
