package org.hyssophitch.bench.command;

import java.io.IOException;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import org.hyssophitch.bench.LatencyBench;

/** Measures the latency that a running proxy adds. */
@Command(name = "latency", description = "latency that the proxy adds, against direct calls in the same run")
public final class LatencyCommand implements BenchCommand {

    @Option(name = "--direct", title = "URL", description = "a resource at a backend server")
    private String direct = "http://127.10.2.1:9000/load";

    @Option(name = "--proxied", title = "URL", description = "a resource through a proxy")
    private String proxied = "http://127.10.1.1:8080/services/mastwatch/load";

    @Option(name = "--calls", title = "number", description = "measured calls of each kind")
    private int calls = 5_000;

    @Override
    public int execute() throws IOException {
        LatencyBench.LatencyRow r = LatencyBench.run(direct, proxied, calls);
        System.out.printf(
                "{\"direct_p50_ms\":%.3f,\"direct_p99_ms\":%.3f,\"proxied_p50_ms\":%.3f,\"proxied_p99_ms\":%.3f,"
                        + "\"added_p99_ms\":%.3f}%n",
                r.directP50(), r.directP99(), r.proxiedP50(), r.proxiedP99(), r.addedP99());
        return 0;
    }
}
