package org.hyssophitch.entry;

import java.util.Map;
import java.util.function.DoubleSupplier;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.hyssophitch.core.call.Reason;
import org.hyssophitch.core.timeline.EventBody;

/** Prometheus metrics of one entry host. Thread-safe. */
final class EntryMetrics {

    private static final double MICROS_PER_SECOND = 1_000_000.0;
    private static final double[] DURATION_BUCKETS_SECONDS = {0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.5, 5};

    /** Teams that get a label of their own, so that the number of time series stays bounded. */
    private static final int MAX_TEAMS = 100;
    /** Label of requests without a known team. */
    private static final String NO_TEAM = "none";

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter requests = Counter.builder()
            .name("hyssophitch_requests_total")
            .help("requests by outcome and reason")
            .labelNames("outcome", "reason")
            .register(registry);
    private final Histogram duration = Histogram.builder()
            .name("hyssophitch_request_duration_seconds")
            .help("time from a request's arrival to its final answer")
            .classicOnly()
            .classicUpperBounds(DURATION_BUCKETS_SECONDS)
            .register(registry);
    private final Histogram heartbeatDelay = Histogram.builder()
            .name("hyssophitch_heartbeat_delay_seconds")
            .help("time by which the event loop ran a heartbeat late, because it was busy")
            .classicOnly()
            .classicUpperBounds(DURATION_BUCKETS_SECONDS)
            .register(registry);
    private final Counter events = Counter.builder()
            .name("hyssophitch_events_total")
            .help("events of the time line by type")
            .labelNames("type")
            .register(registry);
    private final Counter droppedLines = Counter.builder()
            .name("hyssophitch_log_lines_dropped_total")
            .help("log lines left out to bound their volume")
            .register(registry);

    private final Counter limitedServerAttempts = Counter.builder()
            .name("hyssophitch_limited_server_attempts_total")
            .help("attempts sent to backend servers that state a rate limit, by server and cause")
            .labelNames("server", "cause")
            .register(registry);

    private final Counter rejectedAnswers = Counter.builder()
            .name("hyssophitch_rejected_answers_total")
            .help("answers of backend servers that were not taken as the whole answer to a request, by fault")
            .labelNames("fault")
            .register(registry);

    private final Counter embeddedHeads = Counter.builder()
            .name("hyssophitch_embedded_heads_total")
            .help("answers of backend servers whose body held the head of another answer")
            .labelNames("framing", "verdict")
            .register(registry);

    private final Counter teamRefusals = Counter.builder()
            .name("hyssophitch_team_refusals_total")
            .help("requests without a server's answer, by the caller's team and reason")
            .labelNames("team", "reason")
            .register(registry);

    private final Counter quotaDecisions = Counter.builder()
            .name("hyssophitch_quota_decisions_total")
            .help("calls of teams with a quota by team, decision, and whether no owner answered")
            .labelNames("team", "decision", "fallback")
            .register(registry);

    private final Counter forecastRejections = Counter.builder()
            .name("hyssophitch_forecast_rejections_total")
            .help("waiting calls rejected because of their expected wait, by service and team")
            .labelNames("service", "team")
            .register(registry);
    private final Histogram expectedWait = Histogram.builder()
            .name("hyssophitch_forecast_wait_seconds")
            .help("expected wait of the calls that were rejected because of it")
            .classicOnly()
            .classicUpperBounds(DURATION_BUCKETS_SECONDS)
            .register(registry);
    private final Counter requestsAtStop = Counter.builder()
            .name("hyssophitch_stop_requests_total")
            .help("requests refused because of the stop or left without a whole answer, by state")
            .labelNames("state")
            .register(registry);
    private final Counter ignoredObjects = Counter.builder()
            .name("hyssophitch_store_objects_ignored_total")
            .help("objects of the store that were found to be unusable, when first seen or changed, by kind")
            .labelNames("kind")
            .register(registry);
    private final Counter expiredLeases = Counter.builder()
            .name("hyssophitch_store_leases_expired_total")
            .help("watches that left their relay because it hadn't shown in time that a view is current, by kind")
            .labelNames("kind")
            .register(registry);
    private final BoundedLabels teams = new BoundedLabels(MAX_TEAMS);

    PrometheusRegistry registry() {
        return registry;
    }

    /** Registers a gauge whose value is read at each scrape. */
    void registerGauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(c -> c.call(value.getAsDouble()))
                .register(registry);
    }

    /** Registers a gauge with a time series for each value of a label; they are read at each scrape. */
    void registerGauge(String name, String help, String label, Map<String, DoubleSupplier> values) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .labelNames(label)
                .callback(c -> values.forEach((v, s) -> c.call(s.getAsDouble(), v)))
                .register(registry);
    }

    void onAnswered(Reason reason, long elapsedMicros) {
        requests.labelValues(reason.outcome().wireName(), reason.wireName()).inc();
        duration.observe(elapsedMicros / MICROS_PER_SECOND);
    }

    /** Counts a request of a team that got no server's answer; the name is empty without a known team. */
    void onTeamRefused(String team, Reason reason) {
        teamRefusals.labelValues(teamLabel(team), reason.wireName()).inc();
    }

    void onHeartbeat(long lateMicros) {
        heartbeatDelay.observe(lateMicros / MICROS_PER_SECOND);
    }

    void onEvent(String type) {
        events.labelValues(type).inc();
    }

    void onAnswerRejected(String fault) {
        rejectedAnswers.labelValues(fault).inc();
    }

    void onEmbeddedHead(String framing, String verdict) {
        embeddedHeads.labelValues(framing, verdict).inc();
    }

    void onLimitedServerUsed(String server, String cause) {
        limitedServerAttempts.labelValues(server, cause).inc();
    }

    void onQuotaDecided(EventBody.QuotaDecided q) {
        quotaDecisions
                .labelValues(teamLabel(q.team()), q.decision(), Boolean.toString(q.isFallback()))
                .inc();
    }

    void onForecastRejected(String service, String team, long expectedWaitMicros) {
        forecastRejections.labelValues(service, teamLabel(team)).inc();
        expectedWait.observe(expectedWaitMicros / MICROS_PER_SECOND);
    }

    void onRequestAtStop(EventBody.RequestAtStop r) {
        requestsAtStop.labelValues(r.state().name()).inc();
    }

    private String teamLabel(String team) {
        return team.isEmpty() ? NO_TEAM : teams.label(team);
    }

    /** Counts an object of the store that can't be used. */
    void onObjectIgnored(String kind) {
        ignoredObjects.labelValues(kind).inc();
    }

    /** Counts a watch whose relay hasn't shown in time that this host's view of a kind of objects is current. */
    void onLeaseExpired(String kind) {
        expiredLeases.labelValues(kind).inc();
    }

    void onDroppedLine() {
        droppedLines.inc();
    }
}
