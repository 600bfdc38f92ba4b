package org.hyssophitch.entry.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.hyssophitch.entry.FakeStore;
import org.hyssophitch.wire.net.FreePorts;

/** Entry hosts as processes, with stand-ins of the store and of the backend servers in this process. */
final class SoakFleet implements AutoCloseable {

    static final String SERVICE = "archive";
    private static final int SLOTS = 3;
    /** Hosts that start at the same time; more would hold each other up on a busy machine. */
    private static final int CONCURRENT_STARTS = 4;

    private final LoopbackNetwork network = LoopbackNetwork.claim();
    private final Journal journal = new Journal();
    private final int storePort = FreePorts.one();
    private final FakeStore store = new FakeStore(storePort);
    private final List<StandInServer> servers = new ArrayList<>();
    private final List<HostProcess> hosts;
    private int version;

    /**
     * Creates hosts that aren't started yet. Their settings and logs are in the directory; logs of an earlier run are
     * deleted.
     */
    SoakFleet(int hostCount, Path directory) throws IOException {
        Files.createDirectories(directory);
        hosts = IntStream.rangeClosed(1, hostCount)
                .mapToObj(i -> new HostProcess(new HostSettings(network.number(), i, storePort), directory, journal))
                .toList();
        for (HostProcess h : hosts) {
            Files.deleteIfExists(h.log());
        }
    }

    Journal journal() {
        return journal;
    }

    FakeStore store() {
        return store;
    }

    List<HostProcess> hosts() {
        return hosts;
    }

    List<StandInServer> servers() {
        return servers;
    }

    /** Starts and registers servers. */
    void addServers(int count, IntFunction<ServerBehaviour> behaviour) throws IOException {
        for (int i = 0; i < count; i++) {
            StandInServer server = new StandInServer(
                    "127." + network.number() + ".200." + (1 + i),
                    "server-" + (1 + i),
                    HostSettings.ZONES.get(i % HostSettings.ZONES.size()),
                    SLOTS,
                    behaviour.apply(i),
                    journal);
            servers.add(server);
            store.put("servers", server.name(), server.registration(SERVICE, 1));
        }
    }

    /** Writes the next version of the configuration. */
    void configure(List<Route> routes) {
        version++;
        String rules = routes.stream().map(r -> r.json(SERVICE)).collect(Collectors.joining(","));
        store.put(
                "config",
                "main",
                """
                {"version":"r%d","limits":{"max_body_bytes":67108864,"idle_timeout_ms":15000},
                 "clusters":[{"name":"%s","health_check_path":"/health","max_connections":900}],
                 "listeners":[{"host":"%s","rules":[%s]}]}
                """
                        .formatted(version, SERVICE, Request.HOST_NAME, rules));
    }

    /** Starts all hosts and waits until they are ready. */
    void startHosts() throws IOException, InterruptedException {
        for (int from = 0; from < hosts.size(); from += CONCURRENT_STARTS) {
            List<HostProcess> batch = hosts.subList(from, Math.min(hosts.size(), from + CONCURRENT_STARTS));
            for (HostProcess h : batch) {
                h.start();
            }
            for (HostProcess h : batch) {
                h.awaitReady();
            }
        }
    }

    @Override
    public void close() throws IOException {
        hosts.forEach(HostProcess::close);
        store.close();
        for (StandInServer s : servers) {
            s.close();
        }
        network.close();
    }
}
