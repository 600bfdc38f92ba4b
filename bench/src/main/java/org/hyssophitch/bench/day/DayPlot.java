package org.hyssophitch.bench.day;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.hyssophitch.bench.SvgChart;
import org.hyssophitch.wire.yaml.YamlMapping;

/** Draws what each second of a day was worth with each policy. Stateless. */
public final class DayPlot {

    private static final int GRID_STEP_PERCENT = 25;
    private static final double PERCENT = 100;
    private static final int MARK_SECONDS = 4;

    private DayPlot() {}

    /** Draws the results of one day. */
    public static String draw(DayPlan plan, List<DayResult> results) {
        SvgChart chart = new SvgChart("Worth of each second, " + plan.name());
        IntStream.rangeClosed(0, (int) PERCENT / GRID_STEP_PERCENT)
                .map(i -> i * GRID_STEP_PERCENT)
                .forEach(p -> chart.addGridLine(SvgChart.y(p / PERCENT), p + " %"));
        IntStream.rangeClosed(0, (int) plan.seconds() / MARK_SECONDS)
                .map(i -> i * MARK_SECONDS)
                .forEach(s -> chart.addXAxisLabel(x(plan, s), s + " s"));
        results.forEach(r -> chart.addCurve(
                YamlMapping.written(r.policy()),
                r.bySecond().entrySet().stream().map(e -> point(plan, e)).toList()));
        return chart.toSvg();
    }

    private static SvgChart.Point point(DayPlan plan, Map.Entry<Long, Double> second) {
        return new SvgChart.Point(x(plan, second.getKey()), SvgChart.y(second.getValue()));
    }

    private static int x(DayPlan plan, double second) {
        return SvgChart.x(second / plan.seconds());
    }
}
