package org.hyssophitch.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.load.LoadReport;
import org.hyssophitch.core.routing.RoutingPolicy;
import org.hyssophitch.core.routing.ServerSelector;
import org.hyssophitch.core.routing.ServerState;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** JMH benchmark of one backend server selection, with and without the candidate details for the timeline. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class ChoiceBenchmark {

    private static final long NOW_MICROS = 1_000_000;
    private static final int SAMPLE_SIZE = 32;
    private static final int MAX_LOAD = 6;

    /** Number of candidate servers. */
    @Param({"6", "30", "3000"})
    public int candidates;

    /** Whether the selector also builds the candidate details for the timeline. */
    @Param({"false", "true"})
    public boolean isDetailed;

    private final List<ServerState> servers = new ArrayList<>();
    private final RoutingPolicy policy = new RoutingPolicy.EstimatedDelay(SAMPLE_SIZE, "z1");
    private ServerSelector selector;

    /** Creates candidates with load reports of different ages. */
    @Setup
    public void prepare() {
        SplittableRandom random = new SplittableRandom(1);
        selector = new ServerSelector(random);
        servers.clear();
        for (int i = 0; i < candidates; i++) {
            ServerState s = new ServerState(new BackendServer("b" + i, "127.0.0.1", 1, "z" + i % 3, 3, 220, false), 5);
            long taken = NOW_MICROS - random.nextLong(100_000);
            s.onReport(new LoadReport(s.name(), random.nextInt(MAX_LOAD), taken, false));
            s.addServiceSample(4_000);
            servers.add(s);
        }
    }

    /** Selects one server. */
    @Benchmark
    public Object choose() {
        return selector.choose(policy, servers, NOW_MICROS, isDetailed);
    }
}
