package org.hyssophitch.core.call;

import java.util.List;
import java.util.Optional;

import org.hyssophitch.core.team.Caller;
import org.hyssophitch.core.team.TeamTable;

/**
 * Checks that the API keys of callers are valid in the configuration in force. Not thread-safe; owned by the call
 * engine.
 *
 * <p>Keys change only with the configuration. Each call is therefore checked when it arrives and at each configuration,
 * and {@link ActiveCall#isKeyRemoved()} holds the result for every attempt in between.
 */
final class CallerCheck {

    private final EngineState state;
    private TeamTable teams = TeamTable.EMPTY;

    CallerCheck(EngineState state) {
        this.state = state;
    }

    /** Applies the teams of a newer configuration and refuses the waiting calls whose key was removed. */
    void accept(TeamTable accepted, CallFinisher finisher, long nowMicros) {
        teams = accepted;
        state.calls().values().forEach(c -> c.setKeyRemoved(!allows(c.request().caller())));
        List<ActiveCall> removed =
                state.calls().values().stream().filter(ActiveCall::isKeyRemoved).toList();
        removed.forEach(c -> stopWaiting(c, finisher, nowMicros));
    }

    /** Returns whether attempts may be started for the caller. */
    boolean allows(Caller caller) {
        boolean isKeyOptional = caller instanceof Caller.Member m && m.isKeyOptional();
        return teams.isEmpty() || isKeyOptional || teams.confirms(caller);
    }

    /**
     * Returns for whom an attempt is sent now. That is nobody's team if the key is no longer valid but the call may run
     * without it, and empty if the configuration has no teams and the caller named none.
     */
    Optional<Caller> current(Caller caller) {
        if (teams.isEmpty() && caller.equals(Caller.ANONYMOUS)) {
            return Optional.empty();
        }
        return Optional.of(teams.confirms(caller) ? caller : Caller.ANONYMOUS);
    }

    /** Refuses a waiting call; one with an attempt in flight continues, but is not hedged. */
    private static void stopWaiting(ActiveCall call, CallFinisher finisher, long nowMicros) {
        if (call.attempts().isEmpty()) {
            finisher.answer(call, AttemptStarter.notRunReason(call, Reason.UNKNOWN_KEY), nowMicros);
        } else {
            call.service().queue().remove(call.queueEntry());
        }
    }
}
