package org.hyssophitch.core.call;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.hyssophitch.core.call.CallEvent.ProbeOutcome;
import org.hyssophitch.core.health.SuspectTracker.Suspicion;
import org.hyssophitch.core.health.SuspectTracker.Verdict;
import org.hyssophitch.core.routing.ServerState;
import org.hyssophitch.core.timeline.EventBody;

/**
 * Distinguishes server crashes from lost connections, and reports the requests in flight at a crash as suspects. Not
 * thread-safe; owned by the call engine.
 *
 * <p>With fleet-wide limits, where servers answer load probes, a lost connection alone makes no request suspect: the
 * server is probed, and counts as crashed only if the probe fails. While this host has lost several servers at once, a
 * failed probe says nothing about one of them.
 */
final class CrashDetector {

    private final EngineState state;
    private final Map<String, Set<String>> inFlightAtLoss = new HashMap<>();

    CrashDetector(EngineState state) {
        this.state = state;
    }

    /** Handles the loss of a connection to a server before its response. */
    void onLost(ServerState server, ServiceState service, long nowMicros) {
        Set<String> inFlight = state.calls().values().stream()
                .filter(c -> c.attempts().stream().anyMatch(a -> a.server() == server))
                .map(c -> c.request().fingerprint())
                .collect(Collectors.toSet());
        if (state.fleetLimits().isEmpty()) {
            reportCrash(server.name(), inFlight, nowMicros);
        } else if (inFlightAtLoss.putIfAbsent(server.name(), inFlight) == null) {
            state.emit(new CallAction.ProbeLoad(
                    List.of(server.server()), service.service().healthPath()));
        }
    }

    /** Handles the result of a load probe; returns whether it shows that the server crashed. */
    boolean onProbeCompleted(String server, ProbeOutcome outcome, long nowMicros) {
        Set<String> inFlight = inFlightAtLoss.remove(server);
        boolean isCrash = inFlight != null
                && outcome == ProbeOutcome.FAILED
                && !state.cutOffDetector().hasLostSeveralServers();
        if (isCrash) {
            reportCrash(server, inFlight, nowMicros);
        }
        return isCrash;
    }

    /** Merges suspicions of other entry hosts. */
    void onReceived(List<Suspicion> received, long nowMicros) {
        received.stream().filter(state.suspects()::merge).forEach(s -> state.recorder()
                .record(
                        nowMicros,
                        "",
                        new EventBody.SuspicionReceived(
                                s.fingerprint(), s.server(), state.suspects().crashes(s.fingerprint()))));
    }

    private void reportCrash(String server, Set<String> inFlight, long nowMicros) {
        List<Suspicion> found = state.suspects().onCrash(server, inFlight, nowMicros);
        if (!found.isEmpty()) {
            state.emit(new CallAction.ShareSuspicions(found));
        }
        found.forEach(s -> state.recorder()
                .record(
                        nowMicros,
                        "",
                        new EventBody.RequestSuspected(s.fingerprint(), Verdict.SUSPECT.name(), s.score())));
    }
}
