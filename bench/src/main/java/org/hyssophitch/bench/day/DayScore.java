package org.hyssophitch.bench.day;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;

/**
 * Score of a day from the callers' point of view, with the components and weights that the users defined. Each
 * component ranges from 0 to 1. Credit is compared with the maximum: the credit if every request were answered within
 * its target latency. Immutable.
 *
 * @param worstWindows mean fraction of the maximum credit in the two worst windows
 * @param wholeDay fraction of the maximum credit over the whole day
 * @param served fraction of the requests that were answered, including late responses
 * @param worstKind fraction of the maximum credit of the worst request kind
 */
public record DayScore(double worstWindows, double wholeDay, double served, double worstKind) {

    static final int WINDOW_SECONDS = 4;

    private static final int WORST_WINDOWS = 2;
    private static final double WORST_WINDOWS_WEIGHT = 0.4;
    private static final double WHOLE_DAY_WEIGHT = 0.28;
    private static final double SERVED_WEIGHT = 0.2;
    private static final double WORST_KIND_WEIGHT = 0.12;
    private static final long MICROS_PER_SECOND = 1_000_000;

    /** Computes the score of a set of outcomes. */
    static DayScore of(List<RequestOutcome> outcomes) {
        double worstWindows =
                creditRatios(outcomes, o -> o.startMicros() / (WINDOW_SECONDS * MICROS_PER_SECOND)).values().stream()
                        .sorted()
                        .limit(WORST_WINDOWS)
                        .mapToDouble(r -> r)
                        .average()
                        .orElse(0);
        double served = outcomes.stream()
                .mapToInt(o -> o.isAnswered() ? 1 : 0)
                .average()
                .orElse(0);
        return new DayScore(worstWindows, creditRatio(outcomes), served, worstKind(outcomes));
    }

    /** Returns the fraction of the maximum credit by the second in which requests started. */
    static Map<Long, Double> bySecond(List<RequestOutcome> outcomes) {
        return creditRatios(outcomes, o -> o.startMicros() / MICROS_PER_SECOND);
    }

    /** Returns the weighted sum of the components. Costs of load probes and extra attempts are not deducted. */
    public double total() {
        return WORST_WINDOWS_WEIGHT * worstWindows
                + WHOLE_DAY_WEIGHT * wholeDay
                + SERVED_WEIGHT * served
                + WORST_KIND_WEIGHT * worstKind;
    }

    private static double worstKind(List<RequestOutcome> outcomes) {
        return outcomes.stream().collect(Collectors.groupingBy(o -> o.kind().name())).values().stream()
                .mapToDouble(DayScore::creditRatio)
                .min()
                .orElse(0);
    }

    private static Map<Long, Double> creditRatios(List<RequestOutcome> outcomes, ToLongFunction<RequestOutcome> group) {
        return outcomes.stream()
                .collect(Collectors.groupingBy(
                        group::applyAsLong,
                        TreeMap::new,
                        Collectors.collectingAndThen(Collectors.toList(), DayScore::creditRatio)));
    }

    private static double creditRatio(List<RequestOutcome> outcomes) {
        double maxCredit = outcomes.stream().mapToDouble(o -> o.kind().worth()).sum();
        return maxCredit == 0
                ? 0
                : outcomes.stream().mapToDouble(RequestOutcome::credit).sum() / maxCredit;
    }
}
