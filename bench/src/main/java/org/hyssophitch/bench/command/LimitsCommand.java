package org.hyssophitch.bench.command;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.LongStream;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import org.hyssophitch.bench.limit.LimitPlan;
import org.hyssophitch.bench.limit.LimitResult;
import org.hyssophitch.bench.limit.LimitRun;

/** Simulates fleets before servers that state rate limits, and prints how well the sum over all hosts keeps them. */
@Command(name = "limits", description = "simulates servers that state rate limits; deterministic for given seeds")
public final class LimitsCommand implements BenchCommand {

    private static final List<Integer> HOSTS = List.of(14, 30, 150, 300);
    private static final List<Double> LIMITS = List.of(0.5, 2.0, 20.0, 200.0);

    @Option(name = "--seeds", title = "count", description = "runs of each fleet, with seeds from 1 (default 10)")
    private int seeds = 10;

    @Option(name = "--hosts", title = "count", description = "only fleets of this size; may be given several times")
    private List<Integer> hosts = new ArrayList<>();

    @Option(name = "--limit", title = "per second", description = "only this limit; may be given several times")
    private List<Double> limits = new ArrayList<>();

    @Option(name = "--faults", title = "kind", description = "only this kind of fault; may be given several times")
    private List<LimitPlan.Faults> faults = new ArrayList<>();

    @Override
    public int execute() {
        System.out.println("| faults | hosts | limit/s | runs | runs over the bound | worst requests over the bound"
                + " | used, mean | used, least | answered | messages a host and s |");
        System.out.println("|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|");
        boolean isWithinBound = true;
        for (LimitPlan.Faults f : faults.isEmpty() ? Arrays.asList(LimitPlan.Faults.values()) : faults) {
            for (int h : hosts.isEmpty() ? HOSTS : hosts) {
                for (double l : limits.isEmpty() ? LIMITS : limits) {
                    isWithinBound &= simulate(LimitPlan.of(h, l).withFaults(f));
                }
            }
        }
        return isWithinBound ? 0 : 1;
    }

    private boolean simulate(LimitPlan plan) {
        List<LimitResult> results = LongStream.rangeClosed(1, seeds)
                .parallel()
                .mapToObj(s -> LimitRun.simulate(plan, s))
                .toList();
        long over = results.stream().filter(r -> r.worstExcess() > 0).count();
        System.out.printf(
                "| %s | %d | %s | %d | %d | %.1f | %.2f | %.2f | %.3f | %.2f |%n",
                plan.faults(),
                plan.hosts(),
                plan.limitPerSecond(),
                seeds,
                over,
                results.stream().mapToDouble(LimitResult::worstExcess).max().orElseThrow(),
                results.stream().mapToDouble(LimitResult::shareUsed).average().orElseThrow(),
                results.stream().mapToDouble(LimitResult::shareUsed).min().orElseThrow(),
                results.stream().mapToDouble(LimitResult::shareServed).average().orElseThrow(),
                results.stream()
                        .mapToDouble(LimitResult::messagesPerHostAndSecond)
                        .average()
                        .orElseThrow());
        return over == 0;
    }
}
