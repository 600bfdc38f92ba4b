package org.hyssophitch.core.call;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.hyssophitch.core.load.LoadReport;

/**
 * Probes the server of a running attempt once, and hedges the call early if the server has slowed down. Not
 * thread-safe; owned by the call engine.
 *
 * <p>Made for servers whose speed changes while they run a call: a call on a server that has just slowed down can still
 * meet its target if another server starts it soon.
 */
final class SlowdownDetector {

    /** Delay until a call's server is probed, as a fraction of the call's target latency. */
    private static final double PROBE_DELAY_FRACTION = 0.2;
    /** Reported slowdown factor at and above which a call is hedged. */
    private static final double HEDGE_SLOWDOWN = 2.5;

    private final EngineState state;
    private final AttemptStarter starter;
    private final Map<String, Set<Long>> callsByServer = new HashMap<>();

    SlowdownDetector(EngineState state, AttemptStarter starter) {
        this.state = state;
        this.starter = starter;
    }

    /** Schedules the probe for a call's first attempt. */
    void schedule(ActiveCall call, ActiveCall.Attempt a, long nowMicros) {
        long targetLatency = call.request().policy().targetLatencyMicros();
        if (AttemptStarter.usesLoadProbes(call.service()) && targetLatency > 0) {
            long at = nowMicros + (long) (targetLatency * PROBE_DELAY_FRACTION);
            state.timers().add(new EngineState.Timer(at, call.callId(), a.number(), EngineState.TimerKind.CHECK));
        }
    }

    /** Probes the server of an attempt that is still running, unless calls are queued: no server has capacity then. */
    void probe(ActiveCall call, int number, long nowMicros) {
        ActiveCall.Attempt a = call.attempt(number);
        boolean mayHedge = a != null
                && call.attempts().size() == 1
                && call.service().queue().size() == 0;
        boolean mayProbe = mayHedge && a.server().conditions().acceptsProbes(nowMicros);
        if (mayProbe && a.server().tryTakeSpareLoadProbe(nowMicros)) {
            callsByServer
                    .computeIfAbsent(a.server().name(), s -> new HashSet<>())
                    .add(call.callId());
            state.emit(new CallAction.ProbeLoad(
                    List.of(a.server().server()), call.service().service().healthPath()));
        }
    }

    /** Hedges the calls in flight at a probed server that reports a slowdown. */
    void onProbeCompleted(String server, Optional<LoadReport> report, long nowMicros) {
        Set<Long> calls = callsByServer.remove(server);
        boolean isSlow = report.filter(r -> r.slowdown() >= HEDGE_SLOWDOWN).isPresent();
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
