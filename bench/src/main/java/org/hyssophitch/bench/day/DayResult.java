package org.hyssophitch.bench.day;

import java.util.List;
import java.util.Map;

import org.hyssophitch.core.configuration.RoutingKind;
import org.hyssophitch.standin.HistoryChecker;

/**
 * Result of the simulation of one day with one policy. Immutable.
 *
 * @param policy routing policy of the entry hosts
 * @param requests number of requests that were not abandoned by their callers
 * @param requestsSent number of requests that reached an entry host, including retries by callers
 * @param score score of the day
 * @param scoreBySecond credit earned as a fraction of the maximum credit, by the second in which requests started
 * @param extraAttemptsPerRequest attempts after the first one (retries and hedges), per request sent
 * @param extraAttemptExcess extra attempts above the shared budget in the worst window of any service; negative when
 *     within the budget
 * @param loadProbesPerRequest load probes sent to servers, per request sent
 * @param violations violated invariants
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
