package org.hyssophitch.core.call;

import java.util.Optional;
import java.util.function.ObjLongConsumer;

import org.hyssophitch.core.quota.QuotaDecision;
import org.hyssophitch.core.quota.QuotaDecision.Settled;
import org.hyssophitch.core.team.Caller;
import org.hyssophitch.core.team.Team;
import org.hyssophitch.core.timeline.EventBody;
import org.hyssophitch.core.timeline.EventBody.QuotaDecided;

/**
 * Admits the calls of teams with a quota once they have a token. Not thread-safe; owned by the call engine.
 *
 * <p>A call that another entry host forwarded takes a token as well: callers could set the header that marks forwarded
 * calls themselves.
 */
final class QuotaGate {

    private static final long MICROS_PER_MILLI = 1_000;

    private final EngineState state;
    private final CallFinisher finisher;
    private final ObjLongConsumer<ActiveCall> admit;

    /**
     * Creates the gate.
     *
     * @param admit admits a call at a time in microseconds
     */
    QuotaGate(EngineState state, CallFinisher finisher, ObjLongConsumer<ActiveCall> admit) {
        this.state = state;
        this.finisher = finisher;
        this.admit = admit;
    }

    /** Gives back the token of a call that ends without having been run, or ends its wait for one. */
    static void release(EngineState state, ActiveCall call, Reason reason, long nowMicros) {
        if (reason.outcome() != Outcome.NOT_RUN) {
            return;
        }
        quota(state, call).ifPresent(t -> call.quotaToken()
                .ifPresentOrElse(
                        g -> state.quotas().giveBack(t.name(), g.expiresMicros(), nowMicros),
                        () -> state.quotas().cancel(call.callId(), t.name())));
    }

    /** Admits a call, now or after a wait for its token, or refuses it. */
    void onArrival(ActiveCall call, long nowMicros) {
        Optional<Team> quota = quota(state, call);
        if (quota.isEmpty()) {
            admit.accept(call, nowMicros);
            return;
        }
        state.calls().put(call.callId(), call);
        decide(call, state.quotas().request(call.callId(), quota.get(), nowMicros), nowMicros);
        settle(nowMicros);
    }

    /** Handles a change of the hosts that own quotas. */
    void onHosts(CallEvent.QuotaHostsChanged e) {
        state.quotas().onHosts(e.hosts(), e.nowMicros());
        settle(e.nowMicros());
    }

    /** Handles a change of the configuration in force. */
    void onConfiguration(long nowMicros) {
        state.quotas().configure(state.configuration().teams(), state.minHosts(), nowMicros);
        settle(nowMicros);
    }

    /** Answers token requests of another host. */
    void onAsked(CallEvent.QuotaAsked e) {
        e.asks().forEach(a -> state.quotas()
                .onAsk(e.host(), a, e.nowMicros())
                .ifPresent(g -> state.emit(new CallAction.AnswerQuota(e.host(), g))));
        settle(e.nowMicros());
    }

    /** Handles the answers of another host. */
    void onGranted(CallEvent.QuotaGranted e) {
        e.grants().forEach(g -> state.quotas().onGrant(e.host(), g, e.nowMicros()));
        settle(e.nowMicros());
    }

    /** Adapts to the passing of time. */
    void onTime(long nowMicros) {
        state.quotas().onTime(nowMicros);
        settle(nowMicros);
    }

    private void settle(long nowMicros) {
        state.quotas().takeAsks(nowMicros).forEach(s -> state.emit(new CallAction.AskQuota(s.host(), s.ask())));
        state.quotas().takeSettled().forEach(s -> settle(s, nowMicros));
        state.quotas().takeChanges().forEach(c -> state.recorder()
                .record(nowMicros, "", new EventBody.QuotaOwnerChanged(c.team(), c.isOwned())));
    }

    private void settle(Settled settled, long nowMicros) {
        ActiveCall call = state.calls().get(settled.callId());
        if (call != null) {
            decide(call, settled.decision(), nowMicros);
        }
    }

    private void decide(ActiveCall call, QuotaDecision decision, long nowMicros) {
        switch (decision) {
            case QuotaDecision.Granted g -> {
                record(call, QuotaDecided.GRANTED, g.isFallback(), 0, nowMicros);
                call.setQuotaToken(g);
                admit.accept(call, nowMicros);
            }
            case QuotaDecision.Denied d -> {
                record(call, QuotaDecided.DENIED, d.isFallback(), d.retryAfterMicros(), nowMicros);
                long retryAfterMillis = Math.ceilDiv(d.retryAfterMicros(), MICROS_PER_MILLI);
                finisher.refuse(call, Reason.OVER_QUOTA, retryAfterMillis, nowMicros);
            }
            case QuotaDecision.Waiting w -> {
                // Decided later, in settle or at the end of the wait.
            }
        }
    }

    private void record(ActiveCall call, String decision, boolean isFallback, long retryAfterMicros, long nowMicros) {
        String team = call.request().caller() instanceof Caller.Member m ? m.team() : "";
        state.record(nowMicros, call, new QuotaDecided(team, decision, isFallback, retryAfterMicros));
    }

    private static Optional<Team> quota(EngineState state, ActiveCall call) {
        return state.isOn(EngineFeature.QUOTAS) && call.request().caller() instanceof Caller.Member m
                ? state.quotas().quota(m.team())
                : Optional.empty();
    }
}
