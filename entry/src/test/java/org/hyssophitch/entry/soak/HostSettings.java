package org.hyssophitch.entry.soak;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Settings of an entry host. Every host has a loopback address of its own, so that all use the same ports.
 *
 * @param network second number of the addresses of this run
 * @param number number of the host, from 1
 * @param storePort port of the store on 127.0.0.1
 */
record HostSettings(int network, int number, int storePort) {

    /** Time in milliseconds within which a host ends after SIGTERM, as on the users' machines. */
    static final long GRACE_MILLIS = 6_000;

    static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");

    private static final int FRONT_PORT = 18_080;
    private static final int READY_PORT = 18_081;
    private static final int DIRECTORY_PORT = 18_082;
    private static final int PEER_PORT = 18_083;

    String name() {
        return "front-" + number;
    }

    String ip() {
        return "127." + network + '.' + number + ".41";
    }

    String zone() {
        return ZONES.get(number % ZONES.size());
    }

    String front() {
        return ip() + ':' + FRONT_PORT;
    }

    InetSocketAddress frontAddress() {
        return new InetSocketAddress(ip(), FRONT_PORT);
    }

    String ready() {
        return ip() + ':' + READY_PORT;
    }

    String directory() {
        return ip() + ':' + DIRECTORY_PORT;
    }

    String json() {
        return """
               {"node":"%s","ip_address":"%s","zone":"%s","region":"region",
                "zones":{"zone-a":"region","zone-b":"region","zone-c":"region"},
                "listen":{"front":"%s","ready":"%s","directory":"%s"},"internal_ports":[%d,%d],
                "bounds":{"grace_period_s":%d,"retry_budget_ratio":0.2,"budget_window_s":10,"budget_slack":56,
                "ttl_max_s":5,"probes_per_s":60},
                "platform":{"address":"127.0.0.1:%d"}}
               """
                .formatted(
                        name(),
                        ip(),
                        zone(),
                        front(),
                        ready(),
                        directory(),
                        PEER_PORT,
                        PEER_PORT + 15,
                        GRACE_MILLIS / 1_000,
                        storePort);
    }
}
