package org.hyssophitch.core.call;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import org.hyssophitch.core.UnknownCaseException;
import org.hyssophitch.core.call.AttemptResult.NotRunCause;
import org.hyssophitch.core.call.CallEvent.ProbeOutcome;
import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.health.ServerReachability;
import org.hyssophitch.core.routing.ServerState;
import org.hyssophitch.core.timeline.EventBody;

/**
 * Tracks whether this entry host is cut off from all backend servers, and probes some of them while it may be. Not
 * thread-safe; owned by the call engine.
 */
final class CutOffDetector {

    /** Servers of each service that are probed at a time while the host may be cut off. */
    private static final int PROBED_SERVERS = 2;

    private static final long PROBE_INTERVAL_MICROS = 250_000;

    private final EngineState state;
    private final ServerReachability reachability = new ServerReachability();
    private boolean isCutOff;
    private long nextProbeMicros;

    CutOffDetector(EngineState state) {
        this.state = state;
    }

    boolean isCutOff() {
        return isCutOff;
    }

    /** Returns whether several servers in a row gave no answer, so that the host's own links may have failed. */
    boolean hasLostSeveralServers() {
        return reachability.hasLostSeveralServers();
    }

    /** Handles the result of a load probe. */
    void onProbeCompleted(String server, ProbeOutcome outcome, long nowMicros) {
        if (outcome == ProbeOutcome.FAILED) {
            onUnanswered(server, nowMicros);
        } else {
            onAnswered(nowMicros);
        }
    }

    /** Handles the end of an attempt. */
    void onAttemptEnded(ServerState server, AttemptResult result, long nowMicros) {
        switch (result) {
            case AttemptResult.Completed c -> onAnswered(nowMicros);
            case AttemptResult.NotRun n when n.cause() != NotRunCause.CONNECT_FAILED -> onAnswered(nowMicros);
            case AttemptResult.NotRun n -> onUnanswered(server.name(), nowMicros);
            case AttemptResult.Lost l -> onLost(server, l, nowMicros);
        }
    }

    /** Handles any answer of a server. */
    void onAnswered(long nowMicros) {
        reachability.onAnswered();
        update(nowMicros);
    }

    /** Updates the state with time, and sends the probes that are due. */
    void update(long nowMicros) {
        boolean wasCutOff = isCutOff;
        isCutOff = reachability.isCutOff(nowMicros);
        if (isCutOff != wasCutOff) {
            state.recorder().record(nowMicros, "", new EventBody.CutOffChanged(isCutOff, reachability.unanswered()));
            state.emit(new CallAction.ShareCutOff(isCutOff));
        }
        if (reachability.isSuspected() && nowMicros >= nextProbeMicros) {
            nextProbeMicros = nowMicros + PROBE_INTERVAL_MICROS;
            state.services().values().forEach(s -> probe(s, nowMicros));
            schedule(nextProbeMicros);
        }
    }

    private void onLost(ServerState server, AttemptResult.Lost result, long nowMicros) {
        switch (result.cause()) {
            case CONNECTION_LOST, STALLED -> onUnanswered(server.name(), nowMicros);
            case ANSWER_BROKEN -> onAnswered(nowMicros);
            case CANCELLED -> {
                // Says nothing about the server.
            }
            default -> throw new UnknownCaseException(result.cause());
        }
    }

    private void onUnanswered(String server, long nowMicros) {
        if (state.fleetLimits().isEmpty()) {
            return;
        }
        boolean wasSuspected = reachability.isSuspected();
        int known = (int)
                state.servers().values().stream().filter(s -> !s.isLeaving()).count();
        reachability.onUnanswered(server, known, nowMicros);
        if (!wasSuspected && reachability.isSuspected()) {
            schedule(reachability.cutOffFromMicros());
        }
        update(nowMicros);
    }

    private void probe(ServiceState service, long nowMicros) {
        List<ServerState> usable = new ArrayList<>(
                service.servers().stream().filter(s -> !s.isLeaving()).toList());
        Collections.shuffle(usable, Random.from(state.random()));
        List<BackendServer> probed = usable.stream()
                .filter(s -> s.tryTakeLoadProbe(nowMicros))
                .limit(PROBED_SERVERS)
                .map(ServerState::server)
                .toList();
        if (!probed.isEmpty()) {
            state.emit(new CallAction.ProbeLoad(probed, service.service().healthPath()));
        }
    }

    private void schedule(long atMicros) {
        state.timers().add(new EngineState.Timer(atMicros, 0, 0, EngineState.TimerKind.ROUND));
    }
}
