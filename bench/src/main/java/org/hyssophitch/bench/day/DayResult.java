package org.hyssophitch.bench.day;

import java.util.List;
import java.util.Map;

import org.hyssophitch.core.configuration.RoutingKind;
import org.hyssophitch.standin.HistoryChecker;

/**
 * Result of one day with one policy. Immutable.
 *
 * @param policy how the entry hosts chose servers
 * @param requests requests whose callers waited for the end
 * @param sendings requests that reached an entry host, the repeated ones included
 * @param worth what the day was worth
 * @param bySecond credit earned per credit owed, by the second in which requests began
 * @param repeats attempts beyond the first, per request that was sent
 * @param repeatExcess attempts by which the worst window of any service exceeds the shared budget; negative within it
 * @param questions questions for their load that servers got, per request that was sent
 * @param violations what must always hold and didn't
 */
public record DayResult(
        RoutingKind policy,
        long requests,
        long requestsSent,
        DayScore score,
        Map<Long, Double> scoreBySecond,
        double extraAttemptsPerRequest,
        double extraAttemptExcess,
        double loadProbesPerRequest,
        List<HistoryChecker.Violation> violations) {}
