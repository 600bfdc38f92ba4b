package org.hyssophitch.bench;

import java.util.List;

import org.hyssophitch.standin.Deployment;

/** Program {@code bin/bench}. */
public final class BenchMain {

    private BenchMain() {}

    /** Prints the table of routing policies. */
    public static void main(String[] arguments) {
        double seconds = Double.parseDouble(arguments[0]);
        System.out.printf(
                "%-11s %-11s %4s %-16s %7s %8s %8s %8s %8s %7s %6s %4s%n",
                "deployment",
                "scenario",
                "load",
                "policy",
                "calls",
                "p50",
                "p99",
                "p99.9",
                "bulkp99",
                "refused",
                "runs",
                "bad");
        PolicyBench.all(List.of(Deployment.GLENMORVEN), seconds, 1)
                .forEach(r -> System.out.printf(
                        "%-11s %-11s %4d %-16s %7d %8.2f %8.2f %8.2f %8.2f %7d %6.3f %4d%n",
                        r.deployment(),
                        r.scenario(),
                        r.loadPercent(),
                        r.policy(),
                        r.calls(),
                        r.p50Millis(),
                        r.p99Millis(),
                        r.p999Millis(),
                        r.bulkP99Millis(),
                        r.refused(),
                        r.runsPerCall(),
                        r.violations()));
    }
}
