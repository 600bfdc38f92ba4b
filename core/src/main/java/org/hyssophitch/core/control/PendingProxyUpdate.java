package org.hyssophitch.core.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.hyssophitch.core.health.SuspectTracker.Suspicion;
import org.hyssophitch.core.membership.Member;

/** Collects the changes to send to the local proxy. Not thread-safe; owned by the agent engine. */
final class PendingProxyUpdate {

    private final List<Suspicion> suspicions = new ArrayList<>();
    private boolean hasChanges = true;
    private boolean hasRegistrationChanges = true;

    /** Records that members or leaving servers changed. */
    void markChanged() {
        hasChanges = true;
    }

    /** Records that the registered servers changed, or that a newly connected proxy doesn't know them. */
    void markRegistrationsChanged() {
        hasChanges = true;
        hasRegistrationChanges = true;
    }

    void add(Suspicion s) {
        suspicions.add(s);
        hasChanges = true;
    }

    /** Replaces the suspicions to send, for a newly connected proxy that knows none. */
    void setSuspicions(List<Suspicion> known) {
        suspicions.clear();
        suspicions.addAll(known);
    }

    /** Returns the update to send and resets this object; empty when nothing changed. */
    Optional<ProxyUpdate> take(
            List<Member> members,
            Set<String> leaving,
            List<AgedLoadReport> loads,
            RegistrationTable registrations,
            long nowMicros) {
        if (!hasChanges && loads.isEmpty()) {
            return Optional.empty();
        }
        Optional<ProxyUpdate.Registrations> registered =
                hasRegistrationChanges ? Optional.of(registrations.forProxy(nowMicros)) : Optional.empty();
        ProxyUpdate update = new ProxyUpdate(members, leaving, loads, List.copyOf(suspicions), registered);
        suspicions.clear();
        hasChanges = false;
        hasRegistrationChanges = false;
        return Optional.of(update);
    }
}
