package org.hyssophitch.core.call;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.hyssophitch.core.call.CallEvent.AskOutcome;
import org.hyssophitch.core.health.SuspectTracker.Suspicion;
import org.hyssophitch.core.health.SuspectTracker.Verdict;
import org.hyssophitch.core.routing.ServerState;
import org.hyssophitch.core.timeline.EventBody;

/**
 * Tells a crash of a server from a connection that broke. Not thread-safe; owned by the call engine.
 *
 * <p>Where servers answer questions for their load, a lost connection alone blames no request: the server is asked, and
 * only one that doesn't answer counts as crashed.
 */
final class CrashWatch {

    private final EngineState state;
    private final Map<String, Set<String>> inFlightAtLoss = new HashMap<>();

    CrashWatch(EngineState state) {
        this.state = state;
    }

    /** Notes that a connection to a server broke before an answer. */
    void onLost(ServerState server, ServiceState service, long nowMicros) {
        Set<String> inFlight = state.calls().values().stream()
                .filter(c -> c.attempts().stream().anyMatch(a -> a.server() == server))
                .map(c -> c.request().fingerprint())
                .collect(Collectors.toSet());
        if (state.fleet().isEmpty()) {
            blame(server.name(), inFlight, nowMicros);
        } else if (inFlightAtLoss.putIfAbsent(server.name(), inFlight) == null) {
            state.emit(new CallAction.AskLoad(
                    List.of(server.server()), service.service().healthPath()));
        }
    }

    /** Notes a server's answer to a question, or that it failed to answer. */
    void onAnswer(String server, AskOutcome outcome, long nowMicros) {
        Set<String> inFlight = inFlightAtLoss.remove(server);
        if (inFlight != null && outcome == AskOutcome.FAILED) {
            blame(server, inFlight, nowMicros);
        }
    }

    private void blame(String server, Set<String> inFlight, long nowMicros) {
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
