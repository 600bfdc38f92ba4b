package org.hyssophitch.document;

import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.configuration.CallerLimits;
import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.configuration.Route;
import org.hyssophitch.core.configuration.Service;
import org.hyssophitch.core.team.KeyDigest;
import org.hyssophitch.core.team.Team;
import org.hyssophitch.wire.yaml.YamlMapping;
import org.yaml.snakeyaml.DumperOptions;
import org.yaml.snakeyaml.Yaml;

/** Writes a configuration as a YAML document that {@link DocumentReader} can read. Stateless. */
public final class DocumentWriter {

    private DocumentWriter() {}

    /** Returns the text of the document. */
    public static String write(Configuration c) {
        DumperOptions options = new DumperOptions();
        options.setDefaultFlowStyle(DumperOptions.FlowStyle.BLOCK);
        // All empty lists are one object; aliases to it would be unreadable and change with unrelated parts.
        options.setDereferenceAliases(true);
        return new Yaml(options).dump(root(c));
    }

    /** Returns a team's keys as the document shows them: by their digests. */
    public static List<String> keys(Team t) {
        return t.keys().stream().map(DocumentWriter::digest).sorted().toList();
    }

    private static Map<String, Object> root(Configuration c) {
        Map<String, Object> root = new LinkedHashMap<>();
        root.put("max-entry-hosts", c.maxEntryHosts());
        root.put("measuring", probeBudget(c));
        root.put("addresses", addresses(c));
        root.put("callers", limits(c.limits()));
        root.put("routes", c.routes().stream().map(DocumentWriter::route).toList());
        root.put("teams", c.teams().stream().map(DocumentWriter::team).toList());
        root.put("services", c.services().stream().map(DocumentWriter::service).toList());
        return root;
    }

    private static Map<String, Object> probeBudget(Configuration c) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("probes-per-second-per-server", c.probeBudget().probesPerSecondPerServer());
        m.put("probes-per-second-total", c.probeBudget().probesPerSecondTotal());
        m.put("bytes-per-second-total", c.probeBudget().bytesPerSecondTotal());
        return m;
    }

    private static Map<String, Object> addresses(Configuration c) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("per-answer", c.addresses().addressesPerAnswer());
        m.put("keep-seconds", c.addresses().ttlSeconds());
        return m;
    }

    private static Map<String, Object> limits(CallerLimits l) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("max-header-bytes", l.maxHeaderBytes());
        m.put("max-body-bytes", l.maxBodyBytes());
        m.put("header-timeout-ms", l.headerTimeoutMillis());
        m.put("idle-timeout-ms", l.idleTimeoutMillis());
        return m;
    }

    private static Map<String, Object> route(Route r) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("name", r.name());
        m.put("host", r.host());
        m.put("path-prefix", r.pathPrefix());
        m.put("idempotent", r.idempotent());
        m.put("timeout-ms", r.timeoutMillis());
        m.put("target-latency-ms", r.targetLatencyMillis());
        m.put("max-attempts", r.maxAttempts());
        m.put("priority", r.priority());
        m.put("allow-anonymous", r.allowAnonymous());
        m.put(
                "destinations",
                r.destinations().stream().map(DocumentWriter::destination).toList());
        return m;
    }

    private static Map<String, Object> team(Team t) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("name", t.name());
        m.put("api-keys", keys(t));
        t.priority().ifPresent(p -> m.put("priority", p));
        m.put("requests-per-second", t.requestsPerSecond());
        m.put("burst", t.burst());
        return m;
    }

    /** Returns a key's digest; its second half isn't known and not used, so that zeros fill it. */
    private static String digest(KeyDigest key) {
        String digits = HexFormat.of().formatHex(key.toBytes());
        return TeamReader.DIGEST_PREFIX + digits + "0".repeat(TeamReader.DIGEST_DIGITS - digits.length());
    }

    private static Map<String, Object> destination(Route.Destination d) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("service", d.service());
        m.put("weight", d.weight());
        return m;
    }

    private static Map<String, Object> service(Service s) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("name", s.name());
        m.put("criticality", YamlMapping.nameOf(s.criticality()));
        m.put("routing", YamlMapping.nameOf(s.routing()));
        m.put("sample-size", s.sampleSize());
        m.put("health-path", s.healthPath());
        m.put("connection-limit", s.connectionLimit());
        m.put("retry", retry(s));
        m.put("queue", queue(s));
        List<Map<String, Object>> servers =
                s.servers().stream().map(DocumentWriter::server).toList();
        m.put("servers", servers);
        return m;
    }

    private static Map<String, Object> retry(Service s) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("max-attempts", s.retry().maxAttempts());
        m.put("retry-ratio", s.retry().retryRatio());
        m.put("hedge-ratio", s.retry().hedgeRatio());
        m.put("hedge-after-ms", s.retry().hedgeAfterMillis());
        return m;
    }

    private static Map<String, Object> queue(Service s) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("max-queued", s.queue().maxQueued());
        m.put("default-deadline-ms", s.queue().defaultDeadlineMillis());
        m.put("stall-ms", s.queue().stallMillis());
        return m;
    }

    private static Map<String, Object> server(BackendServer b) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("name", b.name());
        m.put("address", b.host() + ":" + b.port());
        m.put("zone", b.zone());
        m.put("slots", b.slots());
        m.put("connection-limit", b.connectionLimit());
        m.put("draining", b.draining());
        return m;
    }
}
