package org.hyssophitch.core.call;

import org.hyssophitch.core.routing.ServerState;
import org.hyssophitch.core.timeline.EventBody;

/**
 * Processes what backend servers state about themselves in their answers. Not thread-safe; owned by the call engine.
 */
final class StatementObserver {

    private static final String NONE = "none";

    private final EngineState state;

    StatementObserver(EngineState state) {
        this.state = state;
    }

    /** Handles an answer of a backend server. */
    void onAnswer(CallEvent.ServerAnswered e) {
        ServerState server = state.servers().get(e.server());
        if (server == null || !server.conditions().onAnswer(e.statements())) {
            return;
        }
        String stated = server.conditions().limit().map(Object::toString).orElse(NONE);
        state.recorder()
                .record(
                        e.nowMicros(),
                        "",
                        new EventBody.ServerStated(
                                server.name(), stated, e.source().name()));
    }
}
