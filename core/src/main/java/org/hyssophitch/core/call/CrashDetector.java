package org.hyssophitch.core.call;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.hyssophitch.core.call.CallEvent.ProbeOutcome;
import org.hyssophitch.core.health.Clearance;
import org.hyssophitch.core.health.SuspectTracker.Suspicion;
import org.hyssophitch.core.health.SuspectTracker.Verdict;
import org.hyssophitch.core.routing.ServerState;
import org.hyssophitch.core.timeline.EventBody;

/**
 * Distinguishes server crashes from lost connections, and reports the requests in flight at a crash as suspects. Not
 * thread-safe; owned by the call engine.
 *
 * <p>With fleet-wide limits, where servers answer load probes, a lost connection alone makes no request suspect: the
 * server is probed, and counts as crashed only if the probe fails or another server answers it. While several servers
 * in a row are silent, that is decided once this host knows whether it is cut off from all of them.
 */
final class CrashDetector {

    /** Why a lost connection isn't counted as a crash of its server. */
    private enum DismissalCause {
        SERVER_ANSWERS,
        /** It had announced that it leaves, and its address is used by another server. */
        SERVER_LEFT,
        /** This host reaches no server, so the loss is that of its own links. */
        CUT_OFF
    }

    private record UnprovenCrash(String server, Set<String> inFlight, long crashMicros) {}

    private final EngineState state;
    private final Map<String, Set<String>> inFlightAtLoss = new HashMap<>();
    /** Crashes that count unless this host turns out to be cut off. */
    private final List<UnprovenCrash> unproven = new ArrayList<>();

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

    /** Handles the result of a load probe; returns whether crashes count now that didn't before. */
    boolean onProbeCompleted(String server, ProbeOutcome outcome, long nowMicros) {
        Set<String> inFlight = inFlightAtLoss.remove(server);
        if (inFlight == null) {
            return false;
        }
        Optional<DismissalCause> dismissal = dismissal(server, outcome);
        if (dismissal.isPresent()) {
            dismiss(server, dismissal.get(), inFlight, nowMicros);
            return false;
        }
        unproven.add(new UnprovenCrash(server, inFlight, nowMicros));
        return update(nowMicros);
    }

    /**
     * Decides on the crashes that were found while this host may have been cut off itself.
     *
     * @return whether they count
     */
    boolean update(long nowMicros) {
        boolean isCutOff = state.cutOffDetector().isCutOff();
        boolean isUndecided = !isCutOff && state.cutOffDetector().hasLostSeveralServers();
        if (unproven.isEmpty() || isUndecided) {
            return false;
        }
        List<UnprovenCrash> decided = List.copyOf(unproven);
        unproven.clear();
        if (isCutOff) {
            decided.forEach(c -> dismiss(c.server(), DismissalCause.CUT_OFF, c.inFlight(), nowMicros));
        } else {
            decided.forEach(c -> reportCrash(c.server(), c.inFlight(), c.crashMicros()));
        }
        return !isCutOff;
    }

    /** Merges suspicions of other entry hosts. */
    void onReceived(List<Suspicion> received, long nowMicros) {
        Set<String> convicted = convicted(fingerprints(received), nowMicros);
        received.stream().filter(state.suspects()::merge).forEach(s -> state.recorder()
                .record(
                        nowMicros,
                        "",
                        new EventBody.SuspicionReceived(
                                s.fingerprint(), s.server(), state.suspects().crashes(s.fingerprint()))));
        recordNewlyConvicted(received, convicted, nowMicros);
    }

    /** Takes back suspicions of requests that were answered at other entry hosts. */
    void onCleared(List<Clearance> clearances, long nowMicros) {
        clearances.stream()
                .filter(state.suspects()::clear)
                .forEach(c -> recordVerdict(c.fingerprint(), Verdict.CLEAR, 0, nowMicros));
    }

    private void reportCrash(String server, Set<String> inFlight, long nowMicros) {
        Set<String> convicted = convicted(inFlight.stream(), nowMicros);
        List<Suspicion> found = state.suspects().onCrash(server, inFlight, nowMicros);
        if (!found.isEmpty()) {
            state.emit(new CallAction.ShareSuspicions(found));
        }
        found.forEach(s -> recordVerdict(s.fingerprint(), Verdict.SUSPECT, s.score(), nowMicros));
        recordNewlyConvicted(found, convicted, nowMicros);
    }

    /** Returns why the result of a probe doesn't show that the server crashed; empty if it may have. */
    private Optional<DismissalCause> dismissal(String server, ProbeOutcome outcome) {
        return switch (outcome) {
            case ACCEPTING, REFUSING -> Optional.of(DismissalCause.SERVER_ANSWERS);
            case WRONG_INSTANCE -> isLeaving(server) ? Optional.of(DismissalCause.SERVER_LEFT) : Optional.empty();
            case FAILED -> Optional.empty();
        };
    }

    private boolean isLeaving(String server) {
        ServerState known = state.servers().get(server);
        return known != null && known.isLeaving();
    }

    private void dismiss(String server, DismissalCause cause, Set<String> inFlight, long nowMicros) {
        state.recorder().record(nowMicros, "", new EventBody.CrashDismissed(server, cause.name(), inFlight.size()));
    }

    private static Stream<String> fingerprints(List<Suspicion> suspicions) {
        return suspicions.stream().map(Suspicion::fingerprint);
    }

    private Set<String> convicted(Stream<String> fingerprints, long nowMicros) {
        return fingerprints
                .filter(f -> state.suspects().verdict(f, nowMicros) == Verdict.CONVICTED)
                .collect(Collectors.toSet());
    }

    /** Records the requests that are refused from now on. */
    private void recordNewlyConvicted(List<Suspicion> suspicions, Set<String> convictedBefore, long nowMicros) {
        convicted(fingerprints(suspicions), nowMicros).stream()
                .filter(f -> !convictedBefore.contains(f))
                .sorted()
                .forEach(f ->
                        recordVerdict(f, Verdict.CONVICTED, state.suspects().score(f), nowMicros));
    }

    private void recordVerdict(String fingerprint, Verdict verdict, double score, long nowMicros) {
        state.recorder().record(nowMicros, "", new EventBody.RequestSuspected(fingerprint, verdict.name(), score));
    }
}
