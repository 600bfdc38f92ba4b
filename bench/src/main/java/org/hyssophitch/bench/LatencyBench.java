package org.hyssophitch.bench;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.HdrHistogram.Histogram;

/** Measures the latency that the proxy adds to a call, compared with direct calls in the same run. Stateless. */
public final class LatencyBench {

    private static final int WARM_UP_ROUNDS = 3_000;
    private static final long MAX_MICROS = 10_000_000;
    private static final double MICROS_PER_MILLI = 1_000;

    /**
     * Latencies in milliseconds of direct and proxied calls. Immutable.
     *
     * @param url URL of the calls through a proxy
     * @param directP50 median of direct calls
     * @param directP99 99th percentile of direct calls
     * @param proxiedP50 median of calls through the proxy
     * @param proxiedP99 99th percentile of calls through the proxy
     */
    public record LatencyRow(String url, double directP50, double directP99, double proxiedP50, double proxiedP99) {

        /** Returns the added latency at the 99th percentile in milliseconds. */
        public double addedP99() {
            return proxiedP99 - directP99;
        }
    }

    private LatencyBench() {}

    /**
     * Measures direct and proxied calls alternately, so that both see the same conditions.
     *
     * @param directUrl URL at the server
     * @param proxiedUrls URLs of the same resource through proxies
     * @param calls number of measured calls per URL, after the warm-up
     * @throws IOException if a call fails or returns an unsuccessful status
     */
    public static List<LatencyRow> run(String directUrl, List<String> proxiedUrls, int calls) throws IOException {
        OkHttpClient client = new OkHttpClient();
        Histogram direct = new Histogram(MAX_MICROS, 3);
        Map<String, Histogram> proxied = new LinkedHashMap<>();
        proxiedUrls.forEach(u -> proxied.put(u, new Histogram(MAX_MICROS, 3)));
        for (int i = 0; i < WARM_UP_ROUNDS + calls; i++) {
            boolean isMeasured = i >= WARM_UP_ROUNDS;
            measure(client, directUrl, direct, isMeasured);
            for (Map.Entry<String, Histogram> p : proxied.entrySet()) {
                measure(client, p.getKey(), p.getValue(), isMeasured);
            }
        }
        return proxied.entrySet().stream()
                .map(p -> row(p.getKey(), direct, p.getValue()))
                .toList();
    }

    private static LatencyRow row(String url, Histogram direct, Histogram proxied) {
        return new LatencyRow(url, millis(direct, 50), millis(direct, 99), millis(proxied, 50), millis(proxied, 99));
    }

    private static void measure(OkHttpClient client, String url, Histogram histogram, boolean isMeasured)
            throws IOException {
        long micros = call(client, url);
        if (isMeasured) {
            histogram.recordValue(micros);
        }
    }

    private static long call(OkHttpClient client, String url) throws IOException {
        long started = System.nanoTime();
        try (Response response =
                client.newCall(new Request.Builder().url(url).build()).execute()) {
            response.body().bytes();
            if (!response.isSuccessful()) {
                throw new IOException(url + " returned HTTP status " + response.code());
            }
        }
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - started);
    }

    private static double millis(Histogram h, double percentile) {
        return h.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }
}
