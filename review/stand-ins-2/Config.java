import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A configuration of the operator. */
final class Config {

    private final String version;
    private final List<Object> rules = new ArrayList<>();
    private final List<Object> clusters = new ArrayList<>();
    private final Map<String, Object> limits = new LinkedHashMap<>();

    Config(int number) {
        version = "r" + number;
        limits.put("max_header_bytes", 16_384L);
        limits.put("max_body_bytes", 67_108_864L);
        limits.put("header_timeout_ms", 3_000L);
        limits.put("idle_timeout_ms", 15_000L);
    }

    Config limit(String name, long value) {
        limits.put(name, value);
        return this;
    }

    Config cluster(String service) {
        Map<String, Object> c = new LinkedHashMap<>();
        c.put("name", service);
        c.put("health_check_path", "/health");
        c.put("max_connections", 220L);
        clusters.add(c);
        return this;
    }

    Config route(String prefix, String kind, String service, long targetMillis, long timeoutMillis, long attempts) {
        Map<String, Object> match = new LinkedHashMap<>();
        match.put("path_prefix", prefix);
        Map<String, Object> action = new LinkedHashMap<>();
        action.put("service", service);
        action.put("timeout_ms", timeoutMillis);
        action.put("max_attempts", attempts);
        Map<String, Object> rule = new LinkedHashMap<>();
        rule.put("name", "r-" + prefix.replace("/", ""));
        rule.put("kind", kind);
        rule.put("target_latency_ms", targetMillis);
        rule.put("priority", 1L);
        rule.put("match", match);
        rule.put("action", action);
        rules.add(rule);
        return this;
    }

    Map<String, Object> build() {
        Map<String, Object> listener = new LinkedHashMap<>();
        listener.put("host", Sender.HOST);
        listener.put("rules", rules);
        Map<String, Object> c = new LinkedHashMap<>();
        c.put("version", version);
        c.put("limits", limits);
        c.put("listeners", List.of(listener));
        c.put("clusters", clusters);
        return c;
    }
}
