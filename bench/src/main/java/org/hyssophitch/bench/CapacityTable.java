package org.hyssophitch.bench;

import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

import org.apache.commons.math3.stat.regression.SimpleRegression;

/** Extrapolates the table of the capacity page from measured slopes by linear regression. Stateless. */
public final class CapacityTable {

    /** Marker line before the table on the page. */
    public static final String BEGIN = "<!-- table from docs/slopes.json by bin/bench slopes -->";
    /** Marker line after the table on the page. */
    public static final String END = "<!-- end of the table -->";

    /** Number of backend servers expected within two years; docs/CAPACITY.md lists this and the figures below. */
    private static final int SERVER_COUNT = 31_000;

    private static final double CALLS_PER_SECOND = 4_600_000;
    private static final int CHANGES_PER_DAY = 29_000;
    private static final double SECONDS_PER_DAY = 86_400;
    private static final double CORES_PER_HOST = 4;
    private static final double ENGINE_CPU_SHARE = 0.5;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double CONTROL_BYTES_PER_SECOND_LIMIT = 6_000;
    private static final double CONTROL_CPU_SHARE_LIMIT = 0.01;
    private static final double IN_FORCE_LIMIT_SECONDS = 17;
    private static final double OBJECT_BYTES_LIMIT = 1e6;
    private static final double OBJECT_CALLS_PER_SECOND_LIMIT = 2_000;
    private static final int REGION_COUNT = 10;

    private CapacityTable() {}

    /** Returns the table as Markdown, including the marker lines. */
    public static String of(Slopes s) {
        double hosts = Math.ceil(CALLS_PER_SECOND
                * s.engine().microsPerRecordedCall()
                / MICROS_PER_SECOND
                / CORES_PER_HOST
                / ENGINE_CPU_SHARE);
        StringBuilder t = new StringBuilder(BEGIN).append('\n');
        t.append("| what | limit | at two years | worked out from | kind | verdict |\n|---|---|---|---|---|---|\n");
        addRow(
                t,
                "entry hosts of 4 cores, half used by the call engine's decisions",
                "none",
                number(hosts),
                number(s.engine().microsPerRecordedCall()) + " us per recorded call, "
                        + number(s.engine().microsPerCall()) + " us unrecorded",
                "fitted",
                "HTTP not counted; see below");
        addControlRows(t, s, hosts);
        addStateRows(t, s);
        return t.append(END).append('\n').toString();
    }

    private static void addControlRows(StringBuilder t, Slopes s, double hosts) {
        Fit bytes = fit(s.control(), ControlRow::hosts, ControlRow::bytesPerSecond);
        double changeBytes =
                CHANGES_PER_DAY / SECONDS_PER_DAY * s.state().getLast().changeBytes();
        double traffic = bytes.at(hosts) + changeBytes;
        addRow(
                t,
                "control traffic per host, bytes/s",
                "6,000",
                number(traffic),
                bytes.describe("bytes/s per host", "hosts") + " and " + number(changeBytes) + " bytes/s of changes",
                "fitted",
                verdict(traffic <= CONTROL_BYTES_PER_SECOND_LIMIT));
        Fit cpu = fit(s.control(), ControlRow::hosts, ControlRow::cpuMicrosPerSecond);
        double share = cpu.at(hosts) / MICROS_PER_SECOND;
        addRow(
                t,
                "agent engine, share of a core",
                "1%",
                percent(share),
                cpu.describe("us/s", "hosts") + "; transports not counted",
                "fitted",
                verdict(share <= CONTROL_CPU_SHARE_LIMIT));
        Fit propagation = fit(s.control(), r -> Math.log(r.hosts()), ControlRow::inForceMaxMillis);
        double seconds = propagation.at(Math.log(hosts)) / 1_000;
        addRow(
                t,
                "accepted configuration in force everywhere, s",
                "17",
                number(seconds),
                propagation.describe("ms", "ln hosts"),
                "fitted",
                verdict(seconds <= IN_FORCE_LIMIT_SECONDS));
        double watches = s.control().getLast().watchers();
        addRow(
                t,
                "watches on the configuration object",
                "part of 2,000 calls/s",
                number(watches * REGION_COUNT),
                number(watches) + " per region at every measured size",
                "measured at 5 to 200 hosts",
                verdict(watches * REGION_COUNT < OBJECT_CALLS_PER_SECOND_LIMIT));
    }

    private static void addStateRows(StringBuilder t, Slopes s) {
        StateBench.StateRow last = s.state().getLast();
        addRow(
                t,
                "whole configuration as one object, bytes",
                "1,000,000",
                number(last.documentBytes()),
                "measured at " + SERVER_COUNT + " servers in " + last.services() + " services",
                "measured",
                last.documentBytes() <= OBJECT_BYTES_LIMIT ? "holds" : "breaks: objects by service are needed");
        addRow(
                t,
                "message of one change, bytes",
                "none",
                number(last.changeBytes()),
                "one service of " + last.services() + " changed",
                "measured",
                "changes travel, not documents");
        Fit apply = fit(s.state(), StateBench.StateRow::servers, StateBench.StateRow::applyMicros);
        double cpuShare = apply.at(SERVER_COUNT) * CHANGES_PER_DAY / SECONDS_PER_DAY / MICROS_PER_SECOND;
        addRow(
                t,
                "putting changes into force in the proxy, share of a core",
                "1%",
                percent(cpuShare),
                apply.describe("us per change", "servers"),
                "fitted",
                verdict(cpuShare <= CONTROL_CPU_SHARE_LIMIT));
        addRow(
                t,
                "heap of the proxy's server states, MB",
                "64 for control",
                number(last.heapBytesPerServer() * SERVER_COUNT / 1e6),
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

    private static void addRow(StringBuilder t, String... cells) {
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
