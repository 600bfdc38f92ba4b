package org.hyssophitch.document;

import java.util.List;

import org.hyssophitch.core.configuration.AddressRule;
import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.configuration.CallerLimits;
import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.configuration.Criticality;
import org.hyssophitch.core.configuration.ProbeBudget;
import org.hyssophitch.core.configuration.QueueRule;
import org.hyssophitch.core.configuration.RetryRule;
import org.hyssophitch.core.configuration.Route;
import org.hyssophitch.core.configuration.RoutingKind;
import org.hyssophitch.core.configuration.Service;
import org.hyssophitch.core.team.Team;
import org.hyssophitch.wire.yaml.Fault;
import org.hyssophitch.wire.yaml.YamlMapping;
import org.hyssophitch.wire.yaml.YamlReader;
import org.hyssophitch.wire.yaml.YamlResult;

/**
 * Parses and validates a configuration document: types, ranges, unknown keys, duplicates and contradictions between
 * values. Not thread-safe; one instance reads one document.
 *
 * <p>The JSON Schema {@code configuration.schema.json} defines the same types and ranges for use in editors.
 */
public final class DocumentReader {

    private static final String NAME_PATTERN = "[a-z0-9][a-z0-9-]{0,62}";
    private static final String NAME_HELP = "a name of lower-case letters, digits and hyphens, at most 63";
    private static final String ADDRESS_PATTERN = "\\d{1,3}(\\.\\d{1,3}){3}:\\d{1,5}";
    /** The length is limited because the probe budget assumes a fixed number of bytes per load probe. */
    private static final String PATH_PATTERN = "/[!-~]{0,99}";

    private static final String PATH_HELP = "a path that begins with a slash, at most 100 characters";
    private static final int MAX_PORT = 65_535;
    private static final int DAY_MILLIS = 86_400_000;
    private static final int MAX_ENTRY_HOSTS = 10_000;
    private static final int DEFAULT_MAX_ENTRY_HOSTS = 17;
    private static final int MAX_PROBES_PER_SECOND = 1_000_000;
    private static final int MAX_CONNECTIONS = 100_000;

    private final DuplicateChecker duplicates = new DuplicateChecker();
    private int maxEntryHosts = DEFAULT_MAX_ENTRY_HOSTS;

    private DocumentReader() {}

    /** Reads a document; the resulting configuration has neither a version nor a revision id yet. */
    public static YamlResult<Configuration> read(String text) {
        return YamlReader.read(text, new DocumentReader()::configuration);
    }

    private Configuration configuration(YamlMapping m) {
        maxEntryHosts = m.integer("max-entry-hosts", 1, MAX_ENTRY_HOSTS, DEFAULT_MAX_ENTRY_HOSTS);
        ProbeBudget probeBudget =
                m.mapping("measuring", DocumentReader::probeBudget).orElse(ProbeBudget.DEFAULT);
        AddressRule addresses =
                m.mapping("addresses", DocumentReader::addresses).orElse(AddressRule.DEFAULT);
        List<Service> services = m.list("services", this::service);
        if (services.isEmpty()) {
            m.report(Fault.Kind.MISSING_KEY, "services", "nothing", "a list of at least one service");
        }
        CallerLimits limits = m.mapping("callers", RouteReader::limits).orElse(CallerLimits.DEFAULT);
        List<Route> routes = new RouteReader(services).routes(m);
        List<Team> teams = new TeamReader().teams(m);
        return new Configuration(0, "", maxEntryHosts, probeBudget, addresses, services, routes, limits, teams);
    }

    private static ProbeBudget probeBudget(YamlMapping m) {
        ProbeBudget d = ProbeBudget.DEFAULT;
        return new ProbeBudget(
                m.decimal("probes-per-second-per-server", 0, MAX_PROBES_PER_SECOND, d.probesPerSecondPerServer()),
                m.decimal("probes-per-second-total", 0, MAX_PROBES_PER_SECOND, d.probesPerSecondTotal()),
                m.integer("bytes-per-second-total", 0, Integer.MAX_VALUE, d.bytesPerSecondTotal()));
    }

    private static AddressRule addresses(YamlMapping m) {
        AddressRule d = AddressRule.DEFAULT;
        return new AddressRule(
                m.integer("per-answer", 1, 16, d.addressesPerAnswer()),
                m.integer("keep-seconds", 1, 3_600, d.ttlSeconds()));
    }

    private Service service(YamlMapping m) {
        String name = m.text("name", NAME_PATTERN, NAME_HELP);
        duplicates.check(m, "name", "service", name);
        int connectionLimit = m.integer("connection-limit", 1, MAX_CONNECTIONS, Service.DEFAULT_CONNECTION_LIMIT);
        List<BackendServer> servers = m.list("servers", s -> server(s, connectionLimit));
        if (!m.has("servers")) {
            m.report(Fault.Kind.MISSING_KEY, "servers", "nothing", "a list of servers; [] if they register themselves");
        } else if (servers.isEmpty()) {
            checkConnectionLimit(m, connectionLimit);
        }
        return Service.builder(name)
                .criticality(m.choice("criticality", Criticality.class, Criticality.CRITICAL))
                .routing(m.choice("routing", RoutingKind.class, RoutingKind.ESTIMATED_DELAY))
                .sampleSize(m.integer("sample-size", 1, 1_000, 32))
                .retry(m.mapping("retry", DocumentReader::retry).orElse(RetryRule.DEFAULT))
                .queue(m.mapping("queue", DocumentReader::queue).orElse(QueueRule.DEFAULT))
                .healthPath(m.text("health-path", PATH_PATTERN, PATH_HELP, Service.DEFAULT_HEALTH_PATH))
                .connectionLimit(connectionLimit)
                .servers(servers)
                .build();
    }

    private void checkConnectionLimit(YamlMapping m, int connectionLimit) {
        int minimum = BackendServer.MIN_CONNECTIONS_PER_HOST * maxEntryHosts;
        if (connectionLimit < minimum) {
            m.report(
                    Fault.Kind.CONTRADICTION,
                    "connection-limit",
                    Integer.toString(connectionLimit),
                    "at least " + minimum + ", three for each of max-entry-hosts " + maxEntryHosts);
        }
    }

    private static RetryRule retry(YamlMapping m) {
        RetryRule d = RetryRule.DEFAULT;
        RetryRule rule = new RetryRule(
                m.integer("max-attempts", 1, 16, d.maxAttempts()),
                m.decimal("retry-ratio", 0, 1, d.retryRatio()),
                m.decimal("hedge-ratio", 0, 1, d.hedgeRatio()),
                m.integer("hedge-after-ms", 0, DAY_MILLIS, d.hedgeAfterMillis()));
        if (rule.maxAttempts() == 1 && rule.hedgeRatio() > 0) {
            m.report(
                    Fault.Kind.CONTRADICTION,
                    "hedge-ratio",
                    Double.toString(rule.hedgeRatio()),
                    "0 while max-attempts is 1");
        }
        return rule;
    }

    private static QueueRule queue(YamlMapping m) {
        QueueRule d = QueueRule.DEFAULT;
        return new QueueRule(
                m.integer("max-queued", 0, 100_000, d.maxQueued()),
                m.integer("default-deadline-ms", 1, DAY_MILLIS, d.defaultDeadlineMillis()),
                m.integer("stall-ms", 10, DAY_MILLIS, d.stallMillis()));
    }

    private BackendServer server(YamlMapping m, int defaultConnectionLimit) {
        String name = m.text("name", NAME_PATTERN, NAME_HELP);
        duplicates.check(m, "name", "backend server", name);
        String address = m.text("address", ADDRESS_PATTERN, "an IPv4 address and port of the form ip:port");
        duplicates.check(m, "address", "address", address);
        int connectionLimit = m.integer("connection-limit", 1, MAX_CONNECTIONS, defaultConnectionLimit);
        checkConnectionLimit(m, connectionLimit);
        int colon = address.lastIndexOf(':');
        int port = address.matches(ADDRESS_PATTERN) ? Integer.parseInt(address.substring(colon + 1)) : 0;
        if (port > MAX_PORT) {
            m.report(Fault.Kind.OUT_OF_RANGE, "address", address, "a port from 1 to " + MAX_PORT);
        }
        return new BackendServer(
                name,
                address.substring(0, Math.max(0, colon)),
                port,
                m.text("zone", NAME_PATTERN, NAME_HELP),
                m.integer("slots", 1, 10_000, 3),
                connectionLimit,
                m.flag("draining", false));
    }
}
