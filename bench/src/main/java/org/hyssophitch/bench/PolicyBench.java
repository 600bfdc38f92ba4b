package org.hyssophitch.bench;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Stream;

import org.HdrHistogram.Histogram;
import org.hyssophitch.bench.model.ModelCallers;
import org.hyssophitch.bench.model.ModelRun;
import org.hyssophitch.bench.model.ModelServer;
import org.hyssophitch.core.call.EngineFeature;
import org.hyssophitch.core.call.FleetLimits;
import org.hyssophitch.core.configuration.QueueRule;
import org.hyssophitch.core.configuration.RoutingKind;
import org.hyssophitch.core.configuration.Service;
import org.hyssophitch.standin.CallRecord;
import org.hyssophitch.standin.Deployment;
import org.hyssophitch.wire.yaml.YamlMapping;

/** Compares routing policies in virtual time, with the same seed and load for each policy. Stateless. */
public final class PolicyBench {

    /** Disturbance during a run. */
    public enum Scenario {
        /** No disturbance. */
        CALM,
        /** One server of each service is ten times slower. */
        STRAGGLER,
        /** Load reports are half a second old when they arrive, and state their age. */
        OLD_REPORTS,
        /** Server speeds change several times a second, and servers slow down when nearly all slots are in use. */
        CHANGING_SPEED,
        /** Like CHANGING_SPEED, with requests so long that the server's speed changes while they run. */
        CHANGING_SPEED_LONG_WORK;

        /** Returns whether callers specify a target latency. */
        boolean hasTargetLatency() {
            return this == CHANGING_SPEED || this == CHANGING_SPEED_LONG_WORK;
        }
    }

    /** Average utilization of the server slots, in percent. */
    public static final List<Integer> LOADS_PERCENT = List.of(50, 70, 85, 95);

    private static final double STRAGGLER_FACTOR = 10;
    /** Scales service times of a few milliseconds to those of the users' platform, 130 to 500 ms. */
    private static final int LONG_SERVICE_TIME_FACTOR = 20;

    private static final long REPORT_LAG_MICROS = 500_000;
    private static final double PERCENT = 100;
    private static final double MICROS_PER_MILLI = 1_000;
    /** Time after the last arrival for outstanding calls to end. */
    private static final long COMPLETION_MICROS = 30_000_000;

    private PolicyBench() {}

    /**
     * Runs every policy with each deployment, scenario and load.
     *
     * @param deployments deployments to model
     * @param scenarios scenarios to run
     * @param seconds duration of each run in virtual seconds
     * @param seed seed of each run
     */
    public static List<PolicyRow> runAll(
            List<Deployment> deployments, List<Scenario> scenarios, double seconds, long seed) {
        return deployments.parallelStream()
                .flatMap(d -> scenarios.stream().flatMap(s -> LOADS_PERCENT.stream()
                        .flatMap(l ->
                                Stream.of(RoutingKind.values()).parallel().map(k -> run(d, s, l, k, seconds, seed)))))
                .toList();
    }

    /** Runs one policy with all engine features enabled. */
    public static PolicyRow run(
            Deployment d, Scenario scenario, int loadPercent, RoutingKind policy, double seconds, long seed) {
        Optional<FleetLimits> fleetLimits =
                policy == RoutingKind.ASKED_LOAD ? Optional.of(FleetLimits.DEFAULT) : Optional.empty();
        int serviceTimeFactor = scenario == Scenario.CHANGING_SPEED_LONG_WORK ? LONG_SERVICE_TIME_FACTOR : 1;
        ModelRun run =
                new ModelRun(d, seed, EngineFeature.all(), s -> withPolicy(s, policy, serviceTimeFactor), fleetLimits);
        run.setServiceTimeFactor(serviceTimeFactor);
        run.setTargetLatencyEnabled(scenario.hasTargetLatency());
        applyScenario(run, scenario);
        long end = (long) (seconds * serviceTimeFactor * 1e6);
        new ModelCallers(run, end).start(loadPercent / PERCENT);
        run.runUntil(end + COMPLETION_MICROS);
        return row(run, scenario, loadPercent, policy);
    }

    private static Service withPolicy(Service s, RoutingKind policy, int serviceTimeFactor) {
        QueueRule q = s.queue();
        return s.toBuilder()
                .routing(policy)
                .queue(new QueueRule(
                        q.maxQueued(),
                        q.defaultDeadlineMillis() * serviceTimeFactor,
                        q.stallMillis() * serviceTimeFactor))
                .build();
    }

    private static void applyScenario(ModelRun run, Scenario scenario) {
        for (Deployment.Server s : run.deployment().servers()) {
            ModelServer server = run.server(s.name());
            boolean isFirst = s.name().endsWith("-1");
            if (scenario == Scenario.STRAGGLER && isFirst) {
                server.setSlowFactor(STRAGGLER_FACTOR);
            }
            if (scenario == Scenario.OLD_REPORTS) {
                server.setReportLag(REPORT_LAG_MICROS, false);
            }
            if (scenario.hasTargetLatency()) {
                server.startSpeedChanges();
            }
        }
    }

    private static PolicyRow row(ModelRun run, Scenario scenario, int loadPercent, RoutingKind policy) {
        Histogram critical =
                new Histogram(run.latency(run.deployment().services().get(0).name()));
        critical.reset();
        Histogram bulk = critical.copy();
        run.deployment().services().forEach(s -> {
            boolean isBulk = s.responseBytes() > 1_000;
            (isBulk ? bulk : critical).add(run.latency(s.name()));
        });
        long refused = run.calls().stream()
                .filter(c -> c.lastOutcome() != CallRecord.AttemptOutcome.COMPLETED
                        && c.lastOutcome() != CallRecord.AttemptOutcome.ALREADY_RUN)
                .count();
        long runs = run.runHistory().serversByRequest().values().stream()
                .mapToLong(List::size)
                .sum();
        return new PolicyRow(
                run.deployment().name().toLowerCase(Locale.ROOT),
                YamlMapping.nameOf(scenario),
                loadPercent,
                YamlMapping.nameOf(policy),
                run.calls().size(),
                millis(critical, 50),
                millis(critical, 99),
                millis(critical, 99.9),
                millis(bulk, 99),
                refused,
                runs / (double) Math.max(1, run.calls().size()),
                PERCENT * run.callsWithinTarget() / Math.max(1, run.calls().size()),
                run.loadProbes() / (double) Math.max(1, run.calls().size()),
                run.violations().size());
    }

    private static double millis(Histogram h, double percentile) {
        return h.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }
}
