package org.hyssophitch.entry.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

/** Runs a plan, judges it, and writes the stories of broken rules. */
final class Soak {

    private final SoakPlan plan;
    private final Path directory;

    Soak(SoakPlan plan, Path directory) {
        this.plan = plan;
        this.directory = directory;
    }

    /** Runs the plan. Logs, settings and report of the run are in its directory. */
    SoakResult run() throws IOException, InterruptedException {
        try (SoakFleet fleet = new SoakFleet(plan.hosts(), directory)) {
            List<RandomFaults> faults = IntStream.range(0, plan.servers())
                    .mapToObj(i -> new RandomFaults(Seeds.random(plan.seed(), "faults-" + i)))
                    .toList();
            fleet.addServers(plan.servers(), faults::get);
            fleet.configure(plan.site().routes());
            fleet.startHosts();
            disturb(fleet, faults);
            Judge judge = new Judge(fleet.journal().events());
            SoakResult result = SoakResult.of(plan, judge);
            SoakReport report =
                    new SoakReport(result, fleet.hosts(), fleet.journal().events());
            Files.write(directory.resolve("report.txt"), report.lines());
            return result;
        }
    }

    private void disturb(SoakFleet fleet, List<RandomFaults> faults) throws InterruptedException {
        List<HostSettings> hosts =
                fleet.hosts().stream().map(HostProcess::settings).toList();
        long endMillis = fleet.journal().millis() + plan.durationMillis();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < plan.callers(); i++) {
            SoakCaller caller = new SoakCaller(plan, i, hosts, fleet.journal());
            threads.add(Thread.startVirtualThread(() -> {
                try {
                    caller.run(endMillis);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }));
        }
        new Disruptor(plan, fleet, faults).run();
        for (Thread t : threads) {
            t.join();
        }
    }
}
