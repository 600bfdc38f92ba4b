package org.hyssophitch.core.statement;

import java.util.List;
import java.util.Optional;

import org.hyssophitch.core.statement.ServerStatement.RateLimit;

/**
 * The conditions that one backend server process has stated in its answers. Not thread-safe; confined to the call
 * engine.
 */
public final class ServerConditions {

    private Optional<RateLimit> limit = Optional.empty();

    /** Returns the rate limit that the server states; empty when it states none. */
    public Optional<RateLimit> limit() {
        return limit;
    }

    /**
     * Applies the statements of one answer.
     *
     * @return whether the conditions changed
     */
    public boolean onAnswer(List<ServerStatement> statements) {
        Optional<RateLimit> stated = statements.stream()
                .filter(RateLimit.class::isInstance)
                .map(RateLimit.class::cast)
                .findFirst();
        boolean isChanged = !stated.equals(limit);
        limit = stated;
        return isChanged;
    }
}
