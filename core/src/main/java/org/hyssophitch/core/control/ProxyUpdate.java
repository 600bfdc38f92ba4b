package org.hyssophitch.core.control;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.hyssophitch.core.configuration.RegisteredServer;
import org.hyssophitch.core.health.SuspectRegister.Suspicion;
import org.hyssophitch.core.membership.Member;

/**
 * What the agent tells its local proxy. Immutable.
 *
 * @param members all known entry hosts
 * @param leaving names of the leaving backend servers
 * @param loads load reports that other entry hosts and probes gave
 * @param suspicions suspicions that other entry hosts shared
 * @param registrations backend servers that registered themselves; empty when nothing changed there
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
     * @param isComplete whether there are no others; else the agent hasn't read the platform's list yet
     * @param servers the servers
     * @param gone names of servers whose registration is gone
     */
    public record Registrations(boolean isComplete, List<RegisteredServer> servers, Set<String> gone) {

        public Registrations {
            servers = List.copyOf(servers);
            gone = Set.copyOf(gone);
        }

        /** Brings up to date what a proxy knows; what an agent doesn't know yet stays. */
        public void applyTo(Map<String, RegisteredServer> known) {
            if (isComplete) {
                known.clear();
            }
            known.keySet().removeAll(gone);
            servers.forEach(s -> known.put(s.server().name(), s));
        }
    }
}
