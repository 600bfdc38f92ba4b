package org.hyssophitch.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.hyssophitch.core.call.CallEngine;
import org.hyssophitch.core.call.CallEvent;
import org.hyssophitch.core.call.EngineSettings;
import org.hyssophitch.core.configuration.AddressRule;
import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.configuration.ProbeBudget;
import org.hyssophitch.core.configuration.Service;
import org.hyssophitch.core.distribution.ConfigurationHistory;
import org.hyssophitch.core.timeline.EventRecorder;
import org.hyssophitch.wire.codec.ConfigurationCodec;

/** Measures state and message sizes by the number of services and backend servers. Stateless. */
public final class StateBench {

    /** Numbers of backend servers to measure; each service has up to eight of them. */
    public static final List<Integer> SERVER_COUNTS = List.of(310, 3_100, 31_000);

    private static final int SERVERS_PER_SERVICE = 8;
    private static final int ROUNDS = 5;
    private static final double NANOS_PER_MICRO = 1_000;
    private static final int ENTRY_HOSTS = 17;

    /**
     * Result for one number of backend servers. Immutable.
     *
     * @param servers number of backend servers
     * @param services number of services
     * @param documentBytes size in bytes of the encoded configuration
     * @param changeBytes size in bytes of the encoded change of one service
     * @param applyMicros shortest time in microseconds in which a call engine applied a changed configuration
     * @param heapBytesPerServer heap in bytes that a call engine retains per backend server
     */
    public record StateRow(
            int servers,
            int services,
            int documentBytes,
            int changeBytes,
            double applyMicros,
            double heapBytesPerServer) {}

    private StateBench() {}

    /** Measures one number of backend servers. */
    public static StateRow run(int servers) {
        Configuration first = configuration(servers, 1);
        Configuration second = withOneChange(first);
        ConfigurationHistory history = new ConfigurationHistory();
        history.accept(first);
        history.accept(second);
        int changeBytes = ConfigurationCodec.encode(history.changeSince(1)).getSerializedSize();
        long before = usedHeap();
        List<CallEngine> engines = new ArrayList<>();
        long nanos = Long.MAX_VALUE;
        for (int i = 0; i < ROUNDS; i++) {
            CallEngine engine = new CallEngine(
                    new EngineSettings("entry-01", "z0", 1), new SplittableRandom(1), EventRecorder.NONE);
            engine.handle(new CallEvent.ConfigurationAccepted(0, first));
            long started = System.nanoTime();
            engine.handle(new CallEvent.ConfigurationAccepted(1, second));
            nanos = Math.min(nanos, System.nanoTime() - started);
            engines.add(engine);
        }
        double heap = (usedHeap() - before) / (double) (engines.size() * servers);
        return new StateRow(
                servers,
                first.services().size(),
                ConfigurationCodec.encode(first).getSerializedSize(),
                changeBytes,
                nanos / NANOS_PER_MICRO,
                heap);
    }

    private static Configuration configuration(int servers, long version) {
        List<Service> services = new ArrayList<>();
        for (int i = 0; i < servers; i += SERVERS_PER_SERVICE) {
            List<BackendServer> members = new ArrayList<>();
            for (int j = i; j < Math.min(servers, i + SERVERS_PER_SERVICE); j++) {
                String host = "10." + j / 65_536 + "." + j / 256 % 256 + "." + j % 256;
                members.add(new BackendServer("server-" + j, host, 9_000, "zone-" + j % 32, 3, 220, false));
            }
            services.add(Service.builder("service-" + i).servers(members).build());
        }
        return new Configuration(version, "revision", ENTRY_HOSTS, ProbeBudget.DEFAULT, AddressRule.DEFAULT, services);
    }

    private static Configuration withOneChange(Configuration c) {
        List<Service> services = new ArrayList<>(c.services());
        services.set(0, services.get(0).withRetry(services.get(0).retry().withMaxAttempts(2)));
        return c.withServices(services).withVersion(c.version() + 1);
    }

    private static long usedHeap() {
        for (int i = 0; i < ROUNDS; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
