package org.hyssophitch.core.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.hyssophitch.core.health.SuspectRegister.Suspicion;
import org.hyssophitch.core.membership.Member;

/** What the local proxy has yet to be told. Not thread-safe; owned by the agent engine. */
final class PendingProxyUpdate {

    private final List<Suspicion> suspicions = new ArrayList<>();
    private boolean isStale = true;
    private boolean isUnregistered = true;

    /** Notes that members or leaving servers changed. */
    void markStale() {
        isStale = true;
    }

    /** Notes that the registered servers changed, or that a new proxy doesn't know them. */
    void markUnregistered() {
        isStale = true;
        isUnregistered = true;
    }

    void add(Suspicion s) {
        suspicions.add(s);
        isStale = true;
    }

    /** Makes the update that is due; empty when the proxy knows everything. */
    Optional<ProxyUpdate> take(
            List<Member> members,
            Set<String> leaving,
            List<AgedLoadReport> loads,
            RegistrationTable registrations,
            long nowMicros) {
        if (!isStale && loads.isEmpty()) {
            return Optional.empty();
        }
        Optional<ProxyUpdate.Registrations> registered =
                isUnregistered ? Optional.of(registrations.forProxy(nowMicros)) : Optional.empty();
        ProxyUpdate update = new ProxyUpdate(members, leaving, loads, List.copyOf(suspicions), registered);
        suspicions.clear();
        isStale = false;
        isUnregistered = false;
        return Optional.of(update);
    }
}
