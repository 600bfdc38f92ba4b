import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Bounds and configuration of a small deployment, in the form of the users' pages. */
final class Deployment {

    static final String HOST_NAME = "jepu9.example";

    /** Bounds as in the site file; 42 load probes a second, as in the large ones. */
    static Map<String, Object> bounds(int drainMillis, int applyMillis, int ackMillis) {
        return Json.object(
                "seed_lag_s", 3,
                "reuse_after_s", 2,
                "stability_window_ms", 3000,
                "ack_timeout_ms", ackMillis,
                "catch_up_s", 4,
                "drain_period_ms", drainMillis,
                "grace_period_s", 6,
                "loss_slack_ms", 200,
                "config_apply_ms", applyMillis,
                "regression_slack_ms", 250,
                "outer_bound_ms", 5000,
                "retry_budget_ratio", 0.2,
                "budget_window_s", 10,
                "budget_slack", 56,
                "recovery_s", 15,
                "ttl_max_s", 5,
                "probes_per_s", 60);
    }

    private final List<Object> rules = new ArrayList<>();
    private final List<Object> clusters = new ArrayList<>();

    Deployment service(String name, int connections) {
        clusters.add(Json.object(
                "name", name, "health_check_path", "/health", "max_connections", connections, "protocol", "h1", "tls",
                false));
        return this;
    }

    Deployment route(
            String name, String kind, String prefix, String service, int targetMillis, int timeoutMillis, int attempts) {
        rules.add(Json.object(
                "name", name,
                "kind", kind,
                "target_latency_ms", targetMillis,
                "priority", rules.size(),
                "match", Json.object("path_prefix", prefix),
                "action", Json.object("service", service, "timeout_ms", timeoutMillis, "max_attempts", attempts)));
        return this;
    }

    /** Writes the configuration into the store, as the operator does. */
    void write(Store store, long version) {
        store.put(
                "config",
                "main",
                Json.object(
                        "version", "r" + version,
                        "limits",
                                Json.object(
                                        "max_header_bytes", 16384, "max_body_bytes", 67108864, "header_timeout_ms", 3000,
                                        "idle_timeout_ms", 15000),
                        "listeners", List.of(Json.object("host", HOST_NAME, "rules", rules)),
                        "clusters", clusters));
    }
}
