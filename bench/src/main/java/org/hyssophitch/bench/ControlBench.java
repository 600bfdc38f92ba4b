package org.hyssophitch.bench;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.hyssophitch.bench.model.DeploymentConfiguration;
import org.hyssophitch.bench.model.ModelAgent;
import org.hyssophitch.bench.model.ModelAgents;
import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.standin.Deployment;

/** Measures control-plane traffic, agent engine time and configuration propagation in virtual time. Stateless. */
public final class ControlBench {

    /** Numbers of entry hosts to measure. */
    public static final List<Integer> FLEET_SIZES = List.of(5, 15, 50, 200);

    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long CONVERGENCE_SECONDS = 15;
    private static final long MEASURE_SECONDS = 10;
    private static final int CHANGES = 5;
    private static final long SECONDS_PER_CHANGE = 2;
    private static final long POLL_INTERVAL_MICROS = 5_000;
    /** Shifts each configuration change, so that changes don't coincide with the watchers' polls. */
    private static final long CHANGE_OFFSET_MICROS = 17_000;

    private static final double NANOS_PER_MICRO = 1_000;
    private static final double MICROS_PER_MILLI = 1_000;

    private ControlBench() {}

    /** Measures one fleet size. */
    public static ControlRow run(int hosts, long seed) {
        ModelAgents run = new ModelAgents(hosts, Deployment.GLENMORVEN.zones(), seed, 0, 0);
        run.accept(configuration("0"), 0);
        run.time().runUntil(CONVERGENCE_SECONDS * MICROS_PER_SECOND);
        long bytes = run.bytesSent();
        long nanos = engineNanos(run);
        long reads = run.store().reads();
        run.time().runUntil((CONVERGENCE_SECONDS + MEASURE_SECONDS) * MICROS_PER_SECOND);
        double hostSeconds = (double) MEASURE_SECONDS * hosts;
        double bytesPerSecond = (run.bytesSent() - bytes) / hostSeconds;
        double cpuMicrosPerSecond = (engineNanos(run) - nanos) / NANOS_PER_MICRO / hostSeconds;
        double readsPerSecond = (run.store().reads() - reads) / (double) MEASURE_SECONDS;
        List<Double> delays = inForceDelays(run);
        long watchers =
                run.running().stream().filter(a -> a.engine().isWatcher()).count();
        return new ControlRow(
                hosts,
                bytesPerSecond,
                cpuMicrosPerSecond,
                run.largestDatagram(),
                percentile(delays, 0.5),
                percentile(delays, 1),
                readsPerSecond,
                watchers);
    }

    private static List<Double> inForceDelays(ModelAgents run) {
        Map<String, Double> delays = new HashMap<>();
        for (int i = 1; i <= CHANGES; i++) {
            run.time().runUntil(run.time().nowMicros() + i * CHANGE_OFFSET_MICROS);
            run.accept(configuration(Integer.toString(i)), run.store().version());
            long acceptedMicros = run.time().nowMicros();
            while (run.time().nowMicros() < acceptedMicros + SECONDS_PER_CHANGE * MICROS_PER_SECOND) {
                run.time().runUntil(run.time().nowMicros() + POLL_INTERVAL_MICROS);
                double elapsed = (run.time().nowMicros() - acceptedMicros) / MICROS_PER_MILLI;
                int change = i;
                run.running().stream()
                        .filter(a -> a.proxyVersion() == run.store().version())
                        .forEach(a -> delays.putIfAbsent(a.host() + '/' + change, elapsed));
            }
        }
        return delays.values().stream().sorted().toList();
    }

    private static double percentile(List<Double> sorted, double fraction) {
        return sorted.isEmpty() ? -1 : sorted.get((int) Math.round(fraction * (sorted.size() - 1)));
    }

    private static long engineNanos(ModelAgents run) {
        return run.all().stream().mapToLong(ModelAgent::nanosSpent).sum();
    }

    private static Configuration configuration(String revisionId) {
        return DeploymentConfiguration.of(Deployment.GLENMORVEN).withRevisionId(revisionId);
    }
}
