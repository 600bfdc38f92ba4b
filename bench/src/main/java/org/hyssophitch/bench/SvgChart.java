package org.hyssophitch.bench;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/** Line chart in SVG with a legend on the right. Not thread-safe. */
public final class SvgChart {

    private static final int WIDTH = 720;
    private static final int HEIGHT = 400;
    /** Margins in pixels around the plot area. */
    private static final int LEFT_MARGIN = 60;

    private static final int RIGHT_MARGIN = 150;
    private static final int TOP_MARGIN = 40;
    private static final int BOTTOM_MARGIN = 40;
    private static final List<String> COLOURS =
            List.of("#7f7f7f", "#bcbd22", "#1f77b4", "#9467bd", "#2ca02c", "#d62728", "#ff7f0e");
    private static final int LEGEND_LINE_HEIGHT = 18;

    /**
     * Point of a curve. Immutable.
     *
     * @param x pixels from the left edge of the chart
     * @param y pixels from the top edge of the chart
     */
    public record Point(int x, int y) {}

    private final StringBuilder svg = new StringBuilder();
    private int curveCount;

    /** Creates an empty chart with a title. */
    public SvgChart(String title) {
        svg.append(String.format(
                "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\""
                        + " font-size=\"12\">%n<rect width=\"100%%\" height=\"100%%\" fill=\"#fff\"/>%n",
                WIDTH, HEIGHT));
        text(LEFT_MARGIN, TOP_MARGIN - 16, title);
    }

    /** Returns the x coordinate of a fraction, from 0 to 1, of the plot width. */
    public static int x(double fraction) {
        return LEFT_MARGIN + (int) ((WIDTH - LEFT_MARGIN - RIGHT_MARGIN) * fraction);
    }

    /** Returns the y coordinate of a fraction, from 0 at the bottom to 1 at the top, of the plot height. */
    public static int y(double fraction) {
        return (int) Math.round(HEIGHT - BOTTOM_MARGIN - fraction * (HEIGHT - TOP_MARGIN - BOTTOM_MARGIN));
    }

    private void text(int x, int y, String text) {
        svg.append(String.format(Locale.ROOT, "<text x=\"%d\" y=\"%d\" fill=\"#333\">%s</text>%n", x, y, text));
    }

    /** Adds a horizontal grid line with a label on the left. */
    public void addGridLine(int y, String value) {
        svg.append(String.format(
                "<line x1=\"%d\" x2=\"%d\" y1=\"%d\" y2=\"%d\" stroke=\"#e0e0e0\"/>%n",
                LEFT_MARGIN, WIDTH - RIGHT_MARGIN, y, y));
        text(8, y + 4, value);
    }

    /** Adds a label below the plot area. */
    public void addXAxisLabel(int x, String value) {
        text(x - 10, HEIGHT - BOTTOM_MARGIN + 18, value);
    }

    /** Adds a curve in the next colour, and its name to the legend. */
    public void addCurve(String name, List<Point> points) {
        String colour = COLOURS.get(curveCount % COLOURS.size());
        String path = points.stream().map(p -> p.x() + "," + p.y()).collect(Collectors.joining(" "));
        svg.append(String.format(
                "<polyline points=\"%s\" fill=\"none\" stroke=\"%s\" stroke-width=\"2\"/>%n", path, colour));
        svg.append(String.format(
                "<text x=\"%d\" y=\"%d\" fill=\"%s\">%s</text>%n",
                WIDTH - RIGHT_MARGIN + 12, TOP_MARGIN + 12 + curveCount * LEGEND_LINE_HEIGHT, colour, name));
        curveCount++;
    }

    /** Returns the chart as an SVG document. */
    public String toSvg() {
        return svg + "</svg>\n";
    }
}
