package org.hyssophitch.core.call;

import java.util.List;

import org.hyssophitch.core.statement.LimitNews;
import org.hyssophitch.core.statement.ServerConditions;
import org.hyssophitch.core.statement.ServerStatement.Unusable;
import org.hyssophitch.core.timeline.EventBody;

/**
 * Processes what backend servers state about themselves in their answers, and what other entry hosts have heard of it.
 * Not thread-safe; owned by the call engine.
 */
final class StatementObserver {

    /** Interval in microseconds at which silent servers are looked for. */
    private static final long SILENCE_CHECK_MICROS = 1_000_000;
    /** Source of a statement that another host passed on. */
    private static final String OTHER_HOST = "OTHER_HOST";

    private final EngineState state;
    private long nextSilenceCheckMicros;

    StatementObserver(EngineState state) {
        this.state = state;
    }

    /** Handles an answer of a backend server; returns whether a condition of the server changed. */
    boolean onAnswer(CallEvent.ServerAnswered e) {
        ServerConditions conditions = state.conditions().of(e.server());
        boolean isSuccess = e.source() == CallEvent.AnswerSource.SUCCESS;
        boolean isChanged =
                conditions.onAnswer(e.statements(), isSuccess, e.sentMicros(), state.knownHosts(), e.nowMicros());
        String source = e.source().name();
        if (isChanged) {
            record(e.server(), conditions.describe(e.nowMicros()), source, e.nowMicros());
        }
        e.statements().stream()
                .filter(Unusable.class::isInstance)
                .findFirst()
                .filter(s -> conditions.takeUnusable(e.nowMicros()))
                .ifPresent(s -> record(e.server(), s.toString(), source, e.nowMicros()));
        share(conditions, e.nowMicros());
        return isChanged;
    }

    /** Handles what other entry hosts have heard; returns whether a condition of a server changed. */
    boolean onNews(List<LimitNews> news, long nowMicros) {
        return news.stream().filter(n -> onNews(n, nowMicros)).count() > 0;
    }

    private boolean onNews(LimitNews news, long nowMicros) {
        ServerConditions conditions = state.conditions().of(news.server());
        boolean isChanged = conditions.onNews(news, state.knownHosts(), nowMicros);
        if (isChanged) {
            record(news.server(), conditions.describe(nowMicros), OTHER_HOST, nowMicros);
        }
        share(conditions, nowMicros);
        return isChanged;
    }

    /** Handles a change of the entry hosts that share the stated limits. */
    void onHostsChanged(CallEvent.HostsChanged e) {
        state.setKnownHosts(e.zoneByHost());
        state.conditions().limited().forEach(c -> c.onHostsChanged(state.knownHosts(), e.nowMicros()));
    }

    /** Adapts to the passing of time. */
    void onTime(long nowMicros) {
        if (nowMicros >= nextSilenceCheckMicros) {
            nextSilenceCheckMicros = nowMicros + SILENCE_CHECK_MICROS;
            state.conditions().limited().forEach(c -> c.onTime(state.knownHosts(), nowMicros));
        }
    }

    private void share(ServerConditions conditions, long nowMicros) {
        boolean isUrgent = conditions.hasUrgentNews();
        conditions.takeNews(nowMicros).ifPresent(n -> state.emit(new CallAction.ShareLimit(n, isUrgent)));
    }

    private void record(String server, String statement, String source, long nowMicros) {
        state.recorder().record(nowMicros, "", new EventBody.ServerStated(server, statement, source));
    }
}
