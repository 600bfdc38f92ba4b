package org.hyssophitch.core.call;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.hyssophitch.core.admission.WaitForecast;
import org.hyssophitch.core.timeline.EventBody;

/**
 * Orders the waiting calls of a service and finds those that can't be served in time. Not thread-safe; owned by the
 * call engine.
 */
final class WaitLimiter {

    private final EngineState state;

    WaitLimiter(EngineState state) {
        this.state = state;
    }

    /** Records the length of a service's queue, from which the forecast tells contention from calm. */
    void onQueueChanged(ServiceState service, long nowMicros) {
        service.contention().forecast().onQueueLength(service.queue().size(), nowMicros);
    }

    /** Records that a server has taken a waiting call. */
    void onPlaced(ActiveCall call, long nowMicros) {
        ServiceContention contention = call.service().contention();
        contention.order().onPlaced(call.queueEntry(), state.teamWeights());
        contention.forecast().onPlaced(call.request().policy().priority(), nowMicros);
    }

    /**
     * Returns the waiting calls in the order in which they are placed: by priority, then fairly between teams. Within a
     * team, calls that can still meet their target go first, because under overload each slot that a late call takes
     * makes another call late.
     */
    List<ActiveCall> ordered(ServiceState service, long nowMicros) {
        List<ActiveCall> byTarget = service.queue().waiting().stream()
                .map(w -> state.calls().get(w.callId()))
                .sorted(Comparator.comparingInt(
                                (ActiveCall c) -> c.request().policy().priority())
                        .thenComparing(c -> TargetRules.willMissTarget(c, nowMicros))
                        .thenComparingLong(c -> c.request().policy().targetMicros()))
                .toList();
        return service.contention().order().order(byTarget, ActiveCall::queueEntry, state.teamWeights());
    }

    /**
     * Returns the waiting calls to reject, because they are expected to wait longer than they may. The others move up,
     * so that the least urgent calls and those of the team furthest above its share are found first.
     */
    List<ActiveCall> findRejected(ServiceState service, long nowMicros) {
        ServiceContention contention = service.contention();
        boolean isDue =
                state.usesWaitForecast() && !state.cutOffDetector().isCutOff() && contention.tryTakeCheck(nowMicros);
        // Calls that wait for a server's stated time are rejected by that time, not by the rate so far.
        if (!isDue || service.acceptsFromMicros(nowMicros) > nowMicros) {
            return List.of();
        }
        WaitForecast forecast = contention.forecast();
        List<ActiveCall> found = new ArrayList<>();
        int place = 1;
        for (ActiveCall c : ordered(service, nowMicros)) {
            int priority = c.request().policy().priority();
            c.setPlace(place);
            if (forecast.isWaitTooLong(priority, place, c.waitUntilMicros() - nowMicros, nowMicros)) {
                found.add(c);
                recordUnlessHedge(c, nowMicros);
            } else {
                place++;
            }
        }
        return found;
    }

    private void recordUnlessHedge(ActiveCall call, long nowMicros) {
        if (!call.attempts().isEmpty()) {
            return;
        }
        ServiceState service = call.service();
        int priority = call.request().policy().priority();
        state.record(
                nowMicros,
                call,
                new EventBody.CallForecastRejected(
                        service.service().name(),
                        call.team(),
                        priority,
                        call.place(),
                        service.queue().size(),
                        service.contention().forecast().expectedWaitMicros(priority, call.place(), nowMicros),
                        call.waitUntilMicros() - nowMicros));
    }
}
