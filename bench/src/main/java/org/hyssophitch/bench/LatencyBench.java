package org.hyssophitch.bench;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.HdrHistogram.Histogram;

/** Measures the latency that the proxy adds to a call, against direct calls of the same server in the same run. */
public final class LatencyBench {

    private static final int WARM_UP = 3_000;
    private static final long MAX_MICROS = 10_000_000;
    private static final double MICROS_PER_MILLI = 1_000;

    /**
     * Result in milliseconds. Immutable.
     *
     * @param directP50 median of direct calls
     * @param directP99 99th percentile of direct calls
     * @param proxiedP50 median of calls through the proxy
     * @param proxiedP99 99th percentile of calls through the proxy
     */
    public record LatencyRow(double directP50, double directP99, double proxiedP50, double proxiedP99) {

        /** Returns the added latency at the 99th percentile in milliseconds. */
        public double addedP99() {
            return proxiedP99 - directP99;
        }
    }

    private LatencyBench() {}

    /**
     * Measures alternating calls.
     *
     * @param directUrl URL at the server
     * @param proxiedUrl URL of the same resource through a proxy
     * @param calls number of measured calls of each kind
     * @throws IOException when a call fails
     */
    public static LatencyRow run(String directUrl, String proxiedUrl, int calls) throws IOException {
        OkHttpClient client = new OkHttpClient();
        Histogram direct = new Histogram(MAX_MICROS, 3);
        Histogram proxied = new Histogram(MAX_MICROS, 3);
        for (int i = 0; i < WARM_UP; i++) {
            call(client, directUrl);
            call(client, proxiedUrl);
        }
        for (int i = 0; i < calls; i++) {
            direct.recordValue(call(client, directUrl));
            proxied.recordValue(call(client, proxiedUrl));
        }
        return new LatencyRow(millis(direct, 50), millis(direct, 99), millis(proxied, 50), millis(proxied, 99));
    }

    private static long call(OkHttpClient client, String url) throws IOException {
        long started = System.nanoTime();
        try (Response response =
                client.newCall(new Request.Builder().url(url).build()).execute()) {
            response.body().bytes();
            if (!response.isSuccessful()) {
                throw new IOException(url + " answered " + response.code());
            }
        }
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - started);
    }

    private static double millis(Histogram h, double percentile) {
        return h.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }
}
