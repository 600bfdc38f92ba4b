package org.hyssophitch.wire.report;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Formats metrics in the Prometheus text format. Stateless. */
public final class MetricsText {

    private static final PrometheusTextFormatWriter WRITER =
            PrometheusTextFormatWriter.builder().build();

    private MetricsText() {}

    /** Formats the current values of all metrics in a registry. */
    public static String of(PrometheusRegistry registry) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            WRITER.write(out, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toString(StandardCharsets.UTF_8);
    }
}
