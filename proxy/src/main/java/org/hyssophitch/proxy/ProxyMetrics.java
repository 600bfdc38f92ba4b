package org.hyssophitch.proxy;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.hyssophitch.core.call.Reason;
import org.hyssophitch.core.timeline.EventBody;

/** Metrics of one proxy. Thread-safe. */
final class ProxyMetrics {

    private static final double MICROS_PER_SECOND = 1_000_000.0;
    private static final double[] BUCKETS_SECONDS = {0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5};

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter calls = Counter.builder()
            .name("hyssophitch_calls_total")
            .help("calls by outcome and reason")
            .labelNames("outcome", "reason")
            .register(registry);
    private final Histogram duration = Histogram.builder()
            .name("hyssophitch_call_duration_seconds")
            .help("time from a call's arrival to the end of its answer")
            .classicOnly()
            .classicUpperBounds(BUCKETS_SECONDS)
            .register(registry);

    private final Counter requestsAtStop = Counter.builder()
            .name("hyssophitch_stop_requests_total")
            .help("requests refused because of the stop or left without a whole answer, by state")
            .labelNames("state")
            .register(registry);

    PrometheusRegistry registry() {
        return registry;
    }

    /** Records a call that has been answered. */
    void onAnswered(Reason reason, long elapsedMicros) {
        calls.labelValues(reason.outcome().wireName(), reason.wireName()).inc();
        duration.observe(elapsedMicros / MICROS_PER_SECOND);
    }

    /** Counts what became of a request during the stop. */
    void onRequestAtStop(EventBody.RequestAtStop r) {
        requestsAtStop.labelValues(r.state().name()).inc();
    }
}
