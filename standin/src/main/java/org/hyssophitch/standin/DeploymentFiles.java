package org.hyssophitch.standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Writes the settings files and the configuration document of a deployment. Stateless. */
public final class DeploymentFiles {

    private static final int BULK_DEADLINE_MILLIS = 10_000;
    private static final int CRITICAL_DEADLINE_MILLIS = 2_000;
    private static final int ADDRESS_TTL_SECONDS = 5;

    private DeploymentFiles() {}

    /** Writes the files into a directory. */
    public static void write(Deployment d, Path directory) throws IOException {
        Files.createDirectories(directory);
        for (Deployment.EntryHost h : d.entryHosts()) {
            Files.writeString(directory.resolve("agent-" + h.name() + ".yaml"), agentSettings(d, h));
            Files.writeString(directory.resolve("proxy-" + h.name() + ".yaml"), proxySettings(h));
        }
        Files.writeString(directory.resolve("console.yaml"), consoleSettings(d));
        Files.writeString(directory.resolve("hyssophitch.yaml"), clientSettings(d));
        Files.writeString(directory.resolve("document.yaml"), document(d));
    }

    /** Returns the platform's host list, with no host leaving. */
    public static String hostList(Deployment d) {
        Stream<String> entryHosts = d.entryHosts().stream().map(h -> hostEntry(h.name(), h.agent()));
        Stream<String> servers = d.servers().stream().map(s -> hostEntry(s.name(), ""));
        return Stream.concat(entryHosts, servers).collect(Collectors.joining(",", "[", "]"));
    }

    private static String hostEntry(String name, String agent) {
        return "{\"name\":\"" + name + "\",\"agent\":\"" + agent + "\",\"leaving\":false}";
    }

    /** Returns the configuration document. */
    public static String document(Deployment d) {
        return """
                max-entry-hosts: %d
                measuring:
                  probes-per-second-per-server: 8
                  probes-per-second-total: 40
                  bytes-per-second-total: 20480
                addresses:
                  per-answer: 3
                  keep-seconds: %d
                callers:
                  idle-timeout-ms: 15000
                routes:
                """
                        .formatted(Deployment.MAX_ENTRY_HOSTS, ADDRESS_TTL_SECONDS)
                + d.services().stream().map(DeploymentFiles::route).collect(Collectors.joining())
                + "services:\n"
                + d.services().stream().map(s -> service(d, s)).collect(Collectors.joining());
    }

    /** Returns a route by host name, for callers that do not address services by path. */
    private static String route(Deployment.ServiceSpec s) {
        return """
                  - name: %s
                    host: %s
                    path-prefix: /
                    idempotent: %b
                    timeout-ms: %d
                    destinations:
                      - service: %s
                """
                .formatted(s.name(), routeHost(s), !s.isNonIdempotent(), deadlineMillis(s), s.name());
    }

    /** Returns the host name that routes to a service. */
    public static String routeHost(Deployment.ServiceSpec s) {
        return s.name() + ".example";
    }

    private static boolean isBulk(Deployment.ServiceSpec s) {
        return s.responseBytes() > 1_000;
    }

    private static int deadlineMillis(Deployment.ServiceSpec s) {
        return isBulk(s) ? BULK_DEADLINE_MILLIS : CRITICAL_DEADLINE_MILLIS;
    }

    private static String service(Deployment d, Deployment.ServiceSpec s) {
        String settings =
                """
                  - name: %s
                    criticality: %s
                    routing: estimated-delay
                    health-path: /load
                    queue:
                      max-queued: 64
                      default-deadline-ms: %d
                      stall-ms: 1000
                    servers:
                """
                        .formatted(s.name(), isBulk(s) ? "bulk" : "critical", deadlineMillis(s));
        return settings
                + d.servers().stream()
                        .filter(b -> b.service().equals(s))
                        .map(DeploymentFiles::server)
                        .collect(Collectors.joining());
    }

    private static String server(Deployment.Server b) {
        return """
                      - name: %s
                        address: %s:%d
                        zone: %s
                        slots: %d
                        connection-limit: %d
                """
                .formatted(b.name(), b.host(), b.port(), b.zone(), Deployment.SLOTS_PER_SERVER, b.connectionLimit());
    }

    private static String agentSettings(Deployment d, Deployment.EntryHost h) {
        String seeds = d.entryHosts().stream()
                .filter(o -> !o.equals(h))
                .limit(3)
                .map(o -> '"' + o.agent() + '"')
                .collect(Collectors.joining(", "));
        return """
                host: %s
                zone: %s
                agent: "%s"
                http: "%s"
                proxy: "%s"
                platform: "%s"
                seeds: [%s]
                """
                .formatted(h.name(), h.zone(), h.agent(), h.http(), h.proxy(), d.platform(), seeds);
    }

    private static String proxySettings(Deployment.EntryHost h) {
        return """
                host: %s
                zone: %s
                listen: "%s"
                agent: "%s"
                """
                .formatted(h.name(), h.zone(), h.proxy(), h.agent());
    }

    private static String consoleSettings(Deployment d) {
        return """
                listen: "%s"
                platform: "%s"
                """
                .formatted(d.console(), d.platform());
    }

    private static String clientSettings(Deployment d) {
        String agents =
                d.entryHosts().stream().map(h -> "  - \"" + h.http() + "\"\n").collect(Collectors.joining());
        return "platform: \"" + d.platform() + "\"\nagents:\n" + agents;
    }
}
