package org.hyssophitch.http;

import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.hyssophitch.core.call.CallRequest;
import org.hyssophitch.core.call.Reason;
import org.hyssophitch.core.entry.StopPlan;
import org.hyssophitch.core.timeline.EventBody.RequestAtStop;
import org.hyssophitch.core.timeline.EventBody.RequestAtStop.State;
import org.hyssophitch.wire.concurrent.WallClock;

/**
 * The stop of a listener: refuses the requests that its plan doesn't take, and reports what became of the others. Not
 * thread-safe; confined to the event loop.
 */
final class StopState {

    private final RequestRules rules;
    private final long startMicros;
    private final Optional<StopPlan> plan;
    private int refused;
    private int unfinished;

    /**
     * Begins a stop.
     *
     * @param plan decides which requests are still taken; empty to take all
     */
    StopState(RequestRules rules, Optional<StopPlan> plan) {
        this.rules = rules;
        this.startMicros = plan.map(StopPlan::startMicros).orElseGet(WallClock::nowMicros);
        this.plan = plan;
    }

    /** Returns whether a call that is ready may be passed on. */
    boolean takes(CallRequest call) {
        return plan.map(p -> p.takes(call, WallClock.nowMicros())).orElse(true);
    }

    /**
     * Refuses a request because of the stop.
     *
     * @param pending unanswered requests of its connection
     */
    void refuse(CallerExchange exchange, List<CallerExchange> pending) {
        refused++;
        report(exchange, State.REFUSED, pending.indexOf(exchange) + 1);
        exchange.refuse(Reason.HOST_STOPPING, Reason.RETRY_ELSEWHERE_MILLIS, "");
    }

    /** Reports all unanswered requests of a connection. */
    void reportUnfinished(List<CallerExchange> pending) {
        reportUnfinished(pending, EnumSet.allOf(State.class));
    }

    /** Reports the unanswered requests of a connection that are in one of the given states. */
    void reportUnfinished(List<CallerExchange> pending, Set<State> states) {
        for (int i = 0; i < pending.size(); i++) {
            State state = pending.get(i).progress();
            if (states.contains(state)) {
                unfinished++;
                report(pending.get(i), state, i + 1);
            }
        }
    }

    /** Returns the number of requests that were refused because of the stop. */
    int refused() {
        return refused;
    }

    /** Returns the number of requests that were reported as left without a whole response. */
    int unfinished() {
        return unfinished;
    }

    private void report(CallerExchange exchange, State state, int position) {
        long takenMillis = TimeUnit.MICROSECONDS.toMillis(exchange.arrivedMicros() - startMicros);
        rules.onStopped(
                exchange.requestId(), new RequestAtStop(state, takenMillis, exchange.attemptsStarted(), position));
    }
}
