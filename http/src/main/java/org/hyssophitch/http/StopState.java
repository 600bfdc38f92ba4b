package org.hyssophitch.http;

import java.util.EnumSet;
import java.util.HashSet;
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

    private static final Set<State> WITHOUT_ANSWER = EnumSet.of(State.WAITING_FOR_SERVER, State.AT_SERVER);

    private final RequestRules rules;
    private final long startMicros;
    private final Optional<StopPlan> plan;
    private final WithheldResponses withheld = new WithheldResponses();
    /** Calls that were reported; the final answer of one may still wait when the process ends. */
    private final Set<Long> reportedCalls = new HashSet<>();

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
     * @param call the call that the request would become
     * @param pending unanswered requests of its connection
     */
    void refuse(CallerExchange exchange, CallRequest call, List<CallerExchange> pending) {
        refused++;
        report(exchange, State.REFUSED, pending.indexOf(exchange) + 1);
        exchange.refuse(call.stopRefusal(), Reason.RETRY_ELSEWHERE_MILLIS, "");
    }

    /**
     * Returns whether an incomplete response waits until it is whole, because others wait behind it. A stop without a
     * plan doesn't end it before the process ends, so it would gain nothing.
     *
     * @param pending unanswered requests of its connection
     * @param bytes size in bytes of what was received of its content
     */
    boolean withholds(CallerExchange exchange, List<CallerExchange> pending, int bytes) {
        boolean isBeforeOthers = pending.indexOf(exchange) < pending.size() - 1;
        return plan.isPresent() && isBeforeOthers && withheld.withholds(exchange, bytes);
    }

    /** Forgets a response that is no longer withheld. */
    void release(CallerExchange exchange) {
        withheld.onEnded(exchange);
    }

    /** Reports all unanswered requests of a connection. */
    void reportUnfinished(List<CallerExchange> pending) {
        pending.forEach(x -> reportUnfinished(x, pending));
    }

    /** Reports the requests of a connection that get a final answer instead of a server's. */
    void reportEnded(List<CallerExchange> pending) {
        pending.stream()
                .filter(x -> WITHOUT_ANSWER.contains(x.progress()) || x.isWithheld())
                .forEach(x -> reportUnfinished(x, pending));
    }

    /** Returns the number of requests that were refused because of the stop. */
    int refused() {
        return refused;
    }

    /** Returns the number of requests that were reported as left without a whole response. */
    int unfinished() {
        return unfinished;
    }

    private void reportUnfinished(CallerExchange exchange, List<CallerExchange> pending) {
        if (!reportedCalls.contains(exchange.callId())) {
            unfinished++;
            report(exchange, exchange.progress(), pending.indexOf(exchange) + 1);
        }
    }

    private void report(CallerExchange exchange, State state, int position) {
        reportedCalls.add(exchange.callId());
        long takenMillis = TimeUnit.MICROSECONDS.toMillis(exchange.arrivedMicros() - startMicros);
        rules.onStopped(
                exchange.requestId(), new RequestAtStop(state, takenMillis, exchange.attemptsStarted(), position));
    }
}
