package org.hyssophitch.entry;

import java.util.Comparator;
import java.util.List;

import org.hyssophitch.core.call.Reason;
import org.hyssophitch.core.load.TokenBucket;
import org.hyssophitch.core.membership.MemberState;
import org.hyssophitch.core.store.WatchFailure;
import org.hyssophitch.core.timeline.EventBody;
import org.hyssophitch.core.timeline.EventRecorder;
import org.hyssophitch.wire.concurrent.WallClock;
import org.hyssophitch.wire.report.TimelineJson;
import org.tinylog.Logger;

/**
 * Writes the entry host's decisions and state changes as log lines. Not thread-safe; confined to the event loop.
 *
 * <p>Lines about single requests are rate-limited, with a lower limit for routine lines than for failures. State
 * changes are always written. Dropped lines are counted in the metrics.
 */
final class EventLog implements EventRecorder {

    /** Rate limit of lines about decisions, completed attempts and successful requests. */
    private static final double ROUTINE_LINES_PER_SECOND = 40;

    /** Rate limit of lines about failed attempts and requests. */
    private static final double FAILURE_LINES_PER_SECOND = 60;
    /** Burst that both limits allow, in seconds at their rate. */
    private static final double BURST_SECONDS = 3;
    /** Maximum number of log lines about the teams of one configuration. */
    private static final int MAX_TEAM_PROBLEMS = 10;
    /** Maximum number of candidates in one line. */
    private static final int MAX_CANDIDATES = 3;

    /** Log line about the final response to a request; the components are the JSON fields. */
    record Answered(
            String event, String request, String team, String reason, int status, long millis, long configuration) {}

    /** Log line about a timeline event; the components are the JSON fields. */
    record Line(String event, String request, EventBody body) {}

    private static final Comparator<EventBody.CandidateView> CHOSEN_FIRST = Comparator.comparing(
                    (EventBody.CandidateView v) -> !v.verdict().equals(EventBody.CandidateView.CHOSEN))
            .thenComparingDouble(EventBody.CandidateView::score);

    private final EntryMetrics metrics;
    private final TokenBucket routineLimit;
    private final TokenBucket failureLimit;
    /** Limit of their own for lines about requests at the stop, because the failures of a stop come all at once. */
    private final TokenBucket stopLimit;

    EventLog(EntryMetrics metrics) {
        this.metrics = metrics;
        long now = WallClock.nowMicros();
        this.routineLimit = new TokenBucket(ROUTINE_LINES_PER_SECOND, ROUTINE_LINES_PER_SECOND * BURST_SECONDS, now);
        this.failureLimit = new TokenBucket(FAILURE_LINES_PER_SECOND, FAILURE_LINES_PER_SECOND * BURST_SECONDS, now);
        this.stopLimit = new TokenBucket(FAILURE_LINES_PER_SECOND, FAILURE_LINES_PER_SECOND * BURST_SECONDS, now);
    }

    @Override
    public void record(long nowMicros, String requestId, EventBody body) {
        metrics.onEvent(body.type());
        if (body instanceof EventBody.LimitedServerUsed u) {
            metrics.onLimitedServerUsed(u.server(), u.cause());
        }
        if (body instanceof EventBody.RequestAtStop r) {
            metrics.onRequestAtStop(r);
        }
        if (body instanceof EventBody.QuotaDecided q) {
            metrics.onQuotaDecided(q);
        }
        if (body instanceof EventBody.CallForecastRejected r) {
            metrics.onForecastRejected(r.service(), r.team(), r.expectedWaitMicros());
        }
        if (body instanceof EventBody.AnswerRejected r) {
            metrics.onAnswerRejected(r.fault());
        }
        if (body instanceof EventBody.EmbeddedHeadFound h) {
            metrics.onEmbeddedHead(h.framing(), h.verdict());
        }
        boolean isLogged =
                switch (body) {
                    case EventBody.CallArrived b -> false;
                    case EventBody.CallAnswered b -> false;
                    case EventBody.RequestAtStop b -> stopLimit.tryTake(1, nowMicros);
                    case EventBody.CallQueued b -> routineLimit.tryTake(1, nowMicros);
                    case EventBody.MemberChanged b
                    when b.state().equals(MemberState.ALIVE.name()) -> routineLimit.tryTake(1, nowMicros);
                    case EventBody.StoreObjectIgnored b -> failureLimit.tryTake(1, nowMicros);
                    case EventBody.WatchFailed b -> failureLimit.tryTake(1, nowMicros);
                    case EventBody.CallForecastRejected b -> failureLimit.tryTake(1, nowMicros);
                    case EventBody.AnswerRejected b -> failureLimit.tryTake(1, nowMicros);
                    case EventBody.EmbeddedHeadFound b -> failureLimit.tryTake(1, nowMicros);
                    case EventBody.HedgeSkipped b -> routineLimit.tryTake(1, nowMicros);
                    case EventBody.QuotaOwnerChanged b -> routineLimit.tryTake(1, nowMicros);
                    case EventBody.QuotaDecided b when b.decision().equals(EventBody.QuotaDecided.GRANTED) -> false;
                    case EventBody.QuotaDecided b -> failureLimit.tryTake(1, nowMicros);
                    case EventBody.LimitedServerUsed b -> routineLimit.tryTake(1, nowMicros);
                    case EventBody.ServerChosen b -> routineLimit.tryTake(1, nowMicros);
                    case EventBody.AttemptEnded b ->
                        b.result().equals("completed")
                                ? routineLimit.tryTake(1, nowMicros)
                                : failureLimit.tryTake(1, nowMicros);
                    default -> true;
                };
        if (isLogged) {
            Logger.info(TimelineJson.record(new Line(body.type(), requestId, limitCandidates(body))));
        } else {
            metrics.onDroppedLine();
        }
    }

    /** Keeps the chosen candidate, which comes first, and the others with the lowest scores. */
    static EventBody limitCandidates(EventBody body) {
        return body instanceof EventBody.ServerChosen c && c.candidates().size() > MAX_CANDIDATES
                ? new EventBody.ServerChosen(
                        c.service(),
                        c.attempt(),
                        c.cause(),
                        c.server(),
                        c.candidates().stream()
                                .sorted(CHOSEN_FIRST)
                                .limit(MAX_CANDIDATES)
                                .toList())
                : body;
    }

    /** Records what is wrong with the teams of a configuration. */
    void recordTeamProblems(long version, List<String> problems) {
        problems.stream().limit(MAX_TEAM_PROBLEMS).forEach(p -> Logger.warn("configuration {}: {}", version, p));
    }

    /** Records that the platform's store became reachable or unreachable for one kind of objects. */
    void recordStoreReachability(boolean isReachable, String detail) {
        record(
                WallClock.nowMicros(),
                "",
                new EventBody.PlatformState((isReachable ? "reachable " : "unreachable ") + detail));
    }

    /** Records that the platform's store was restored from a copy. */
    void recordStoreRestored() {
        record(WallClock.nowMicros(), "", new EventBody.PlatformState("restored from a copy"));
    }

    /** Records that a watch failed inside this host, and that the objects of its kind are listed again. */
    void recordWatchFailure(WatchFailure f) {
        record(WallClock.nowMicros(), "", new EventBody.WatchFailed(f.kind(), f.step(), f.cause(), f.silentMicros()));
    }

    /** Writes a line about the final response to a request. */
    void recordAnswer(String requestId, String team, Reason reason, int status, long elapsedMicros, long version) {
        long now = WallClock.nowMicros();
        boolean isSuccess = reason == Reason.ANSWERED && status < 500;
        if (isSuccess ? routineLimit.tryTake(1, now) : failureLimit.tryTake(1, now)) {
            Logger.info(TimelineJson.record(new Answered(
                    "RequestAnswered", requestId, team, reason.wireName(), status, elapsedMicros / 1_000, version)));
        } else {
            metrics.onDroppedLine();
        }
    }
}
