package org.hyssophitch.bench.command;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import org.hyssophitch.bench.LatencyBench;

/** Measures the latency that a running proxy adds to direct calls. */
@Command(name = "latency", description = "latency added by the proxy, compared with direct calls in the same run")
public final class LatencyCommand implements BenchCommand {

    private static final String DEFAULT_PROXIED = "http://127.10.1.1:8080/services/mastwatch/load";

    @Option(name = "--direct", title = "URL", description = "URL of a resource on a backend server")
    private String direct = "http://127.10.2.1:9000/load";

    @Option(
            name = "--proxied",
            title = "URL",
            description = "the same resource through a proxy; several are measured in turn")
    private List<String> proxied = new ArrayList<>();

    @Option(name = "--calls", title = "number", description = "number of measured calls to each URL")
    private int calls = 5_000;

    @Override
    public int execute() throws IOException {
        LatencyBench.run(direct, proxied.isEmpty() ? List.of(DEFAULT_PROXIED) : proxied, calls)
                .forEach(LatencyCommand::print);
        return 0;
    }

    private static void print(LatencyBench.LatencyRow r) {
        System.out.printf(
                "{\"url\":\"%s\",\"direct_p50_ms\":%.3f,\"direct_p99_ms\":%.3f,\"proxied_p50_ms\":%.3f,"
                        + "\"proxied_p99_ms\":%.3f,\"added_p99_ms\":%.3f}%n",
                r.url(), r.directP50(), r.directP99(), r.proxiedP50(), r.proxiedP99(), r.addedP99());
    }
}
