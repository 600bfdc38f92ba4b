package org.hyssophitch.bench;

import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

import org.apache.commons.math3.stat.regression.SimpleRegression;

/** Works the capacity page's table out of the measured slopes. Stateless. */
public final class CapacityTable {

    /** Line in front of the table on the page. */
    public static final String BEGIN = "<!-- table from docs/slopes.json by bin/bench slopes -->";
    /** Line behind the table on the page. */
    public static final String END = "<!-- end of the table -->";

    private static final int SERVERS = 31_000;
    private static final double CALLS_PER_SECOND = 4_600_000;
    private static final int CHANGES_PER_DAY = 29_000;
    private static final double SECONDS_PER_DAY = 86_400;
    private static final double CORES_FOR_CALLS = 4;
    private static final double USABLE_SHARE = 0.5;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double CONTROL_BYTES_LIMIT = 6_000;
    private static final double CONTROL_CPU_LIMIT = 0.01;
    private static final double IN_FORCE_LIMIT_SECONDS = 17;
    private static final double OBJECT_LIMIT_BYTES = 1e6;
    private static final double READS_LIMIT = 2_000;
    private static final int REGIONS = 10;

    private CapacityTable() {}

    /** Returns the table as Markdown, with the lines around it. */
    public static String of(Slopes s) {
        double hosts = Math.ceil(CALLS_PER_SECOND
                * s.engine().microsPerRecordedCall()
                / MICROS_PER_SECOND
                / CORES_FOR_CALLS
                / USABLE_SHARE);
        StringBuilder t = new StringBuilder(BEGIN).append('\n');
        t.append("| what | limit | at two years | worked out from | kind | verdict |\n|---|---|---|---|---|---|\n");
        row(
                t,
                "entry hosts of 4 cores, half used by the call engine's decisions",
                "none",
                number(hosts),
                number(s.engine().microsPerRecordedCall()) + " us per recorded call, "
                        + number(s.engine().microsPerCall()) + " us unrecorded",
                "fitted",
                "HTTP not counted; see below");
        control(t, s, hosts);
        state(t, s);
        return t.append(END).append('\n').toString();
    }

    private static void control(StringBuilder t, Slopes s, double hosts) {
        Fit bytes = fit(s.control(), ControlRow::hosts, ControlRow::bytesPerSecond);
        double changeBytes =
                CHANGES_PER_DAY / SECONDS_PER_DAY * s.state().getLast().changeBytes();
        double traffic = bytes.at(hosts) + changeBytes;
        row(
                t,
                "control traffic per host, bytes/s",
                "6,000",
                number(traffic),
                bytes.describe("bytes/s per host", "hosts") + " and " + number(changeBytes) + " bytes/s of changes",
                "fitted",
                verdict(traffic <= CONTROL_BYTES_LIMIT));
        Fit cpu = fit(s.control(), ControlRow::hosts, ControlRow::cpuMicrosPerSecond);
        double share = cpu.at(hosts) / MICROS_PER_SECOND;
        row(
                t,
                "agent engine, share of a core",
                "1%",
                percent(share),
                cpu.describe("us/s", "hosts") + "; transports not counted",
                "fitted",
                verdict(share <= CONTROL_CPU_LIMIT));
        Fit spread = fit(s.control(), r -> Math.log(r.hosts()), ControlRow::inForceMaxMillis);
        double seconds = spread.at(Math.log(hosts)) / 1_000;
        row(
                t,
                "accepted configuration in force everywhere, s",
                "17",
                number(seconds),
                spread.describe("ms", "ln hosts"),
                "fitted",
                verdict(seconds <= IN_FORCE_LIMIT_SECONDS));
        double watches = s.control().getLast().watchers();
        row(
                t,
                "watches on the configuration object",
                "part of 2,000 calls/s",
                number(watches * REGIONS),
                number(watches) + " per region at every measured size",
                "measured at 5 to 200 hosts",
                verdict(watches * REGIONS < READS_LIMIT));
    }

    private static void state(StringBuilder t, Slopes s) {
        StateBench.StateRow last = s.state().getLast();
        row(
                t,
                "whole configuration as one object, bytes",
                "1,000,000",
                number(last.documentBytes()),
                "measured at " + SERVERS + " servers in " + last.services() + " services",
                "measured",
                last.documentBytes() <= OBJECT_LIMIT_BYTES ? "holds" : "breaks: objects by service are needed");
        row(
                t,
                "message of one change, bytes",
                "none",
                number(last.changeBytes()),
                "one service of " + last.services() + " changed",
                "measured",
                "changes travel, not documents");
        Fit apply = fit(s.state(), StateBench.StateRow::servers, StateBench.StateRow::applyMicros);
        double perDay = apply.at(SERVERS) * CHANGES_PER_DAY / SECONDS_PER_DAY / MICROS_PER_SECOND;
        row(
                t,
                "putting changes into force in the proxy, share of a core",
                "1%",
                percent(perDay),
                apply.describe("us per change", "servers"),
                "fitted",
                verdict(perDay <= CONTROL_CPU_LIMIT));
        row(
                t,
                "heap of the proxy's server states, MB",
                "64 for control",
                number(last.heapBytesPerServer() * SERVERS / 1e6),
                number(last.heapBytesPerServer()) + " bytes per server",
                "measured",
                "part of the proxy's budget; subsets per host lower it");
    }

    private record Fit(double intercept, double slope, double errorPercent) {

        double at(double x) {
            return intercept + slope * x;
        }

        String describe(String unit, String per) {
            return number(intercept) + " + " + number(slope) + " " + unit + " per " + per + ", fit off by at most "
                    + number(errorPercent) + "%";
        }
    }

    private static <T> Fit fit(List<T> rows, ToDoubleFunction<T> x, ToDoubleFunction<T> y) {
        SimpleRegression regression = new SimpleRegression();
        rows.forEach(r -> regression.addData(x.applyAsDouble(r), y.applyAsDouble(r)));
        double error = rows.stream()
                .mapToDouble(r -> Math.abs(regression.predict(x.applyAsDouble(r)) / y.applyAsDouble(r) - 1))
                .max()
                .orElse(0);
        return new Fit(regression.getIntercept(), regression.getSlope(), error * 100);
    }

    private static void row(StringBuilder t, String... cells) {
        t.append("| ").append(String.join(" | ", cells)).append(" |\n");
    }

    private static String verdict(boolean holds) {
        return holds ? "holds" : "breaks";
    }

    private static String percent(double share) {
        return String.format(Locale.ROOT, "%.2f%%", share * 100);
    }

    private static String number(double value) {
        return Math.abs(value) >= 100
                ? String.format(Locale.ROOT, "%,.0f", value)
                : String.format(Locale.ROOT, "%.3g", value);
    }
}
