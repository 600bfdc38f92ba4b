package org.hyssophitch.standin;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Finds violated invariants in a history of concurrent calls. Stateless.
 */
public final class HistoryChecker {

    /** Types of violations. */
    public enum Kind {
        /** A caller got a response that claimed to be complete, but was not the response to its request. */
        WRONG_ANSWER,
        /** A non-idempotent request ran more than once. */
        DOUBLE_RUN,
        /** Every attempt was reported as not run, but the request ran. */
        FALSE_NOT_RUN,
        /** A request was reported as completed, but no backend server ran it. */
        FALSE_COMPLETED
    }

    /**
     * One violation. Immutable.
     *
     * @param kind type
     * @param requestId id of the affected request
     * @param servers backend servers that ran the request
     */
    public record Violation(Kind kind, String requestId, List<String> servers) {}

    private HistoryChecker() {}

    /**
     * Returns every violation in a history.
     *
     * @param calls the callers' records
     * @param runs backend servers that started each request, by request id
     */
    public static List<Violation> check(Collection<CallRecord> calls, Map<String, List<String>> runs) {
        return calls.stream()
                .flatMap(c -> List.of(Kind.values()).stream()
                        .filter(k -> isViolated(k, c, runs.getOrDefault(c.requestId(), List.of())))
                        .map(k -> new Violation(k, c.requestId(), runs.getOrDefault(c.requestId(), List.of()))))
                .toList();
    }

    /** Returns the number of violations of one type. */
    public static long count(List<Violation> violations, Kind kind) {
        return violations.stream().filter(v -> v.kind() == kind).count();
    }

    private static boolean isViolated(Kind kind, CallRecord c, List<String> servers) {
        Predicate<CallRecord.AttemptOutcome> isCompletion =
                a -> a == CallRecord.AttemptOutcome.COMPLETED || a == CallRecord.AttemptOutcome.ALREADY_RUN;
        return switch (kind) {
            case WRONG_ANSWER -> c.outcomes().contains(CallRecord.AttemptOutcome.WRONG);
            case DOUBLE_RUN -> !c.isIdempotent() && servers.size() > 1;
            case FALSE_NOT_RUN -> c.isAlwaysNotRun() && !servers.isEmpty();
            case FALSE_COMPLETED -> c.outcomes().stream().anyMatch(isCompletion) && servers.isEmpty();
        };
    }
}
