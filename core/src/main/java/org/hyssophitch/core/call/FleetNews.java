package org.hyssophitch.core.call;

import java.util.List;

import org.hyssophitch.core.health.Clearance;
import org.hyssophitch.core.health.SuspectTracker.Suspicion;
import org.hyssophitch.core.quota.QuotaAsk;
import org.hyssophitch.core.quota.QuotaGrant;
import org.hyssophitch.core.statement.LimitNews;

/** Receives what an engine shares with the other entry hosts. Called on the engine's thread. */
public interface FleetNews {

    /** Shares nothing. */
    FleetNews NONE = new FleetNews() {
        @Override
        public void shareSuspicions(List<Suspicion> suspicions) {
            // A single host has nobody to tell.
        }

        @Override
        public void shareLimit(LimitNews news, boolean isUrgent) {
            // A single host has nobody to tell.
        }
    };

    /** Shares whether this host is cut off from all backend servers. */
    default void shareCutOff(boolean isCutOff) {
        // Hosts that don't forward requests to each other need not know.
    }

    /** Asks another host for tokens of a team's quota. */
    default void askQuota(String host, QuotaAsk ask) {
        // Hosts without quotas have nothing to ask for; a request without an answer counts as lost.
    }

    /** Answers another host that asked for tokens. */
    default void answerQuota(String host, QuotaGrant grant) {
        // Hosts without quotas aren't asked.
    }

    /** Shares that a suspect request doesn't crash servers. */
    default void shareClearance(Clearance clearance) {
        // A host that shares nothing, or by a way that doesn't tell newcomers of old suspicions, has none to take back.
    }

    /** Shares suspicions of requests that crash servers. */
    void shareSuspicions(List<Suspicion> suspicions);

    /**
     * Shares what this host knows of a rate limit that a backend server states.
     *
     * @param isUrgent whether the other hosts should hear it at once
     */
    void shareLimit(LimitNews news, boolean isUrgent);
}
