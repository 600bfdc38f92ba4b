package org.hyssophitch.standin;

import java.util.ArrayList;
import java.util.List;

/**
 * Deployments that the fakes reproduce, each on its own loopback network. Immutable.
 */
public enum Deployment {
    GLENMORVEN(
            10,
            220,
            List.of("inverness-hall", "fort-william", "stornoway"),
            List.of(
                    new ServiceSpec("mastwatch", 8, false, 4, 256),
                    new ServiceSpec("crewcall", 6, true, 6, 128),
                    new ServiceSpec("sitearchive", 12, false, 12, 65_536))),
    LAKESHORE(
            20,
            260,
            List.of("detroit", "cleveland", "milwaukee"),
            List.of(
                    new ServiceSpec("inventory", 10, false, 4, 256),
                    new ServiceSpec("exchange-desk", 6, true, 6, 128),
                    new ServiceSpec("records", 20, false, 12, 65_536)));

    /** Number of entry hosts. */
    public static final int ENTRY_HOSTS = 13;
    /** Maximum number of entry hosts, including replacements. */
    public static final int MAX_ENTRY_HOSTS = 17;
    /** Number of requests that a backend server runs at the same time. */
    public static final int SLOTS_PER_SERVER = 3;

    private static final int AGENT_PORT = 7_001;
    private static final int AGENT_HTTP_PORT = 7_002;
    private static final int PROXY_PORT = 8_080;
    private static final int SERVER_PORT = 9_000;

    /**
     * Specification of one service.
     *
     * @param name name of the service
     * @param servers number of backend servers
     * @param isNonIdempotent whether its requests must run at most once
     * @param meanServiceMillis mean time in milliseconds for which a request occupies a slot
     * @param responseBytes size of a response body in bytes
     */
    public record ServiceSpec(
            String name, int servers, boolean isNonIdempotent, int meanServiceMillis, int responseBytes) {}

    /**
     * One entry host.
     *
     * @param name name
     * @param zone availability zone
     * @param agent address for other agents and the proxy
     * @param http HTTP address of the agent
     * @param proxy address of the proxy, for callers
     */
    public record EntryHost(String name, String zone, String agent, String http, String proxy) {}

    /**
     * One backend server.
     *
     * @param name name
     * @param service service that it belongs to
     * @param zone availability zone
     * @param host IP address
     * @param port TCP port
     * @param connectionLimit maximum number of open connections
     */
    public record Server(String name, ServiceSpec service, String zone, String host, int port, int connectionLimit) {}

    private final int network;
    private final int connectionLimit;
    private final List<String> zones;
    private final List<ServiceSpec> services;

    Deployment(int network, int connectionLimit, List<String> zones, List<ServiceSpec> services) {
        this.network = network;
        this.connectionLimit = connectionLimit;
        this.zones = zones;
        this.services = services;
    }

    public List<String> zones() {
        return zones;
    }

    public List<ServiceSpec> services() {
        return services;
    }

    /** Returns the address of the fake platform. */
    public String platform() {
        return ip(3, 1) + ":9400";
    }

    /** Returns the control address of the fake backend servers, for fault injection and their history. */
    public String serverControl() {
        return ip(3, 2) + ":9500";
    }

    /** Returns the address of the console. */
    public String console() {
        return ip(3, 3) + ":8090";
    }

    /** Returns the entry hosts. */
    public List<EntryHost> entryHosts() {
        List<EntryHost> hosts = new ArrayList<>();
        for (int i = 1; i <= ENTRY_HOSTS; i++) {
            String ip = ip(1, i);
            hosts.add(new EntryHost(
                    String.format("entry-%02d", i),
                    zone(i),
                    ip + ":" + AGENT_PORT,
                    ip + ":" + AGENT_HTTP_PORT,
                    ip + ":" + PROXY_PORT));
        }
        return hosts;
    }

    /** Returns the backend servers of all services. */
    public List<Server> servers() {
        List<Server> servers = new ArrayList<>();
        for (ServiceSpec s : services) {
            for (int i = 1; i <= s.servers(); i++) {
                int number = servers.size() + 1;
                servers.add(new Server(s.name() + "-" + i, s, zone(i), ip(2, number), SERVER_PORT, connectionLimit));
            }
        }
        return servers;
    }

    private String zone(int number) {
        return zones.get((number - 1) % zones.size());
    }

    private String ip(int group, int number) {
        return "127." + network + "." + group + "." + number;
    }
}
