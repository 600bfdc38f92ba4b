package org.hyssophitch.core.call;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.hyssophitch.core.load.LoadReport;

/**
 * Asks the server of a running attempt once whether it has become slow, and hedges the call early if so. Not
 * thread-safe; owned by the call engine.
 *
 * <p>Answers servers whose speed changes while they run a call: a call on a machine that has just turned slow is still
 * in time when another server begins it soon.
 */
final class SpeedChecks {

    /** Part of a call's time to its target after which its server is asked. */
    private static final double CHECK_SHARE = 0.2;
    /** Slow-down from which on a call is worth a second attempt. */
    private static final double SLOW = 2.5;

    private final EngineState state;
    private final AttemptStarter starter;
    private final Map<String, Set<Long>> callsByServer = new HashMap<>();

    SpeedChecks(EngineState state, AttemptStarter starter) {
        this.state = state;
        this.starter = starter;
    }

    /** Plans the check of a call's first attempt. */
    void schedule(ActiveCall call, ActiveCall.Attempt a, long nowMicros) {
        long span = call.request().terms().spanMicros();
        if (AttemptStarter.isAsked(call.service()) && span > 0) {
            long at = nowMicros + (long) (span * CHECK_SHARE);
            state.timers().add(new EngineState.Timer(at, call.callId(), a.number(), EngineState.TimerKind.CHECK));
        }
    }

    /** Asks the server of an attempt that still runs; nothing is asked while calls wait, as no server has room then. */
    void ask(ActiveCall call, int number, long nowMicros) {
        ActiveCall.Attempt a = call.attempt(number);
        boolean isUseful = a != null
                && call.attempts().size() == 1
                && call.service().queue().size() == 0;
        if (isUseful && a.server().tryTakeSpareLoadProbe(nowMicros)) {
            callsByServer
                    .computeIfAbsent(a.server().name(), s -> new HashSet<>())
                    .add(call.callId());
            state.emit(new CallAction.AskLoad(
                    List.of(a.server().server()), call.service().service().healthPath()));
        }
    }

    /** Hedges the calls that wait for a server which says that it is slow now. */
    void onAnswer(String server, Optional<LoadReport> report, long nowMicros) {
        Set<Long> calls = callsByServer.remove(server);
        boolean isSlow = report.filter(r -> r.slowdown() >= SLOW).isPresent();
        if (calls != null && isSlow) {
            calls.stream().sorted().map(state.calls()::get).forEach(c -> hedge(c, server, nowMicros));
        }
    }

    private void hedge(ActiveCall call, String server, long nowMicros) {
        if (call == null || call.isRelaying()) {
            return;
        }
        call.attempts().stream()
                .filter(a -> a.server().name().equals(server))
                .findFirst()
                .ifPresent(a -> starter.hedge(call, a.number(), nowMicros));
    }
}
