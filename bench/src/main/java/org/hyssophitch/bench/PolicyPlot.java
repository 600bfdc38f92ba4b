package org.hyssophitch.bench;

import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;

/** Plots latency against load for each policy as an SVG chart. Stateless. */
public final class PolicyPlot {

    private static final double MIN_MILLIS = 5;
    private static final double MAX_MILLIS = 2_000;
    private static final List<Integer> GRID_MILLIS = List.of(5, 10, 20, 50, 100, 200, 500, 1_000, 2_000);

    private PolicyPlot() {}

    /**
     * Plots one scenario of one deployment.
     *
     * @param title title of the chart
     * @param rows results of that scenario, in any order of loads and policies
     * @param value value in milliseconds to plot on a logarithmic axis, clamped to its range
     */
    public static String draw(String title, List<PolicyRow> rows, ToDoubleFunction<PolicyRow> value) {
        SvgChart chart = new SvgChart(title);
        GRID_MILLIS.forEach(m -> chart.addGridLine(y(m), m + " ms"));
        PolicyBench.LOADS_PERCENT.forEach(l -> chart.addXAxisLabel(x(l), l + " %"));
        rows.stream()
                .map(PolicyRow::policy)
                .distinct()
                .forEach(policy -> chart.addCurve(
                        policy,
                        rows.stream()
                                .filter(r -> r.policy().equals(policy))
                                .sorted(Comparator.comparingInt(PolicyRow::loadPercent))
                                .map(r -> new SvgChart.Point(x(r.loadPercent()), y(value.applyAsDouble(r))))
                                .toList()));
        return chart.toSvg();
    }

    private static int x(int loadPercent) {
        int min = PolicyBench.LOADS_PERCENT.getFirst();
        int max = PolicyBench.LOADS_PERCENT.getLast();
        return SvgChart.x((double) (loadPercent - min) / (max - min));
    }

    private static int y(double millis) {
        double bounded = Math.max(MIN_MILLIS, Math.min(MAX_MILLIS, millis));
        double fraction = Math.log(bounded / MIN_MILLIS) / Math.log(MAX_MILLIS / MIN_MILLIS);
        return SvgChart.y(fraction);
    }
}
