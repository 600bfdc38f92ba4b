package org.hyssophitch.bench.day;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.hyssophitch.bench.SvgChart;
import org.hyssophitch.wire.yaml.YamlMapping;

/** Plots the score of each second of a day, with one curve per policy. Stateless. */
public final class DayPlot {

    private static final int GRID_STEP_PERCENT = 25;
    private static final double PERCENT = 100;
    private static final int TICK_SECONDS = 4;

    private DayPlot() {}

    /** Returns an SVG chart of the results of one day. */
    public static String draw(DayPlan plan, List<DayResult> results) {
        SvgChart chart = new SvgChart("Score per second, " + plan.name());
        IntStream.rangeClosed(0, (int) PERCENT / GRID_STEP_PERCENT)
                .map(i -> i * GRID_STEP_PERCENT)
                .forEach(p -> chart.addGridLine(SvgChart.y(p / PERCENT), p + " %"));
        IntStream.rangeClosed(0, (int) plan.seconds() / TICK_SECONDS)
                .map(i -> i * TICK_SECONDS)
                .forEach(s -> chart.addXAxisLabel(x(plan, s), s + " s"));
        results.forEach(r -> chart.addCurve(
                YamlMapping.nameOf(r.policy()),
                r.scoreBySecond().entrySet().stream().map(e -> point(plan, e)).toList()));
        return chart.toSvg();
    }

    private static SvgChart.Point point(DayPlan plan, Map.Entry<Long, Double> second) {
        return new SvgChart.Point(x(plan, second.getKey()), SvgChart.y(second.getValue()));
    }

    private static int x(DayPlan plan, double second) {
        return SvgChart.x(second / plan.seconds());
    }
}
