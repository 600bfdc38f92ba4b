package org.hyssophitch.bench.command;

import com.github.rvesse.airline.annotations.Command;
import org.hyssophitch.bench.ControlBench;
import org.hyssophitch.bench.ControlRow;

/** Measures the overhead of the control plane for several fleet sizes. */
@Command(name = "control", description = "control traffic, CPU time and configuration propagation time by fleet size")
public final class ControlCommand implements BenchCommand {

    @Override
    public int execute() {
        System.out.println("| hosts | bytes/s per host | engine us/s per host | largest datagram | propagation p50 ms"
                + " | propagation max ms | store reads/s | watchers |");
        System.out.println("|--:|--:|--:|--:|--:|--:|--:|--:|");
        ControlBench.FLEET_SIZES.forEach(n -> print(ControlBench.run(n, 1)));
        return 0;
    }

    private static void print(ControlRow r) {
        System.out.printf(
                "| %d | %.0f | %.0f | %d | %.0f | %.0f | %.1f | %d |%n",
                r.hosts(),
                r.bytesPerSecond(),
                r.cpuMicrosPerSecond(),
                r.largestDatagramBytes(),
                r.inForceP50Millis(),
                r.inForceMaxMillis(),
                r.storeReadsPerSecond(),
                r.watchers());
    }
}
