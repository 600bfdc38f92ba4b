package org.hyssophitch.agent;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;

import okhttp3.ConnectionPool;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.control.AgentAction;
import org.hyssophitch.core.load.LoadReport;
import org.hyssophitch.wire.concurrent.EventThread;
import org.hyssophitch.wire.concurrent.WallClock;
import org.hyssophitch.wire.net.StrictResponseInterceptor;
import org.hyssophitch.wire.report.LoadHeaders;

/**
 * Sends load probes to backend servers on a thread of its own. Thread-safe; runs from {@link #start} until
 * {@link #close}.
 *
 * <p>Sends only the probes that the engine requests and has charged to the probe budget.
 */
final class Prober implements AutoCloseable {

    private static final int QUEUE_CAPACITY = 256;
    private static final long TICK_MICROS = 1_000_000;
    private static final Duration TIMEOUT = Duration.ofMillis(300);
    private static final int IDLE_CONNECTIONS = 4;

    private final OkHttpClient client = new OkHttpClient.Builder()
            .callTimeout(TIMEOUT)
            .addNetworkInterceptor(new StrictResponseInterceptor())
            .retryOnConnectionFailure(false)
            .connectionPool(new ConnectionPool(IDLE_CONNECTIONS, 1, TimeUnit.SECONDS))
            .build();
    private final Consumer<LoadReport> sink;
    private final EventThread<AgentAction.Probe> thread;
    private final LongAdder sent = new LongAdder();

    Prober(Consumer<LoadReport> sink) {
        this.sink = sink;
        this.thread = new EventThread<>("agent-probes", QUEUE_CAPACITY, () -> TICK_MICROS, this::probe, () -> {});
    }

    void start() {
        thread.start();
    }

    void submit(AgentAction.Probe probe) {
        thread.offer(probe);
    }

    long sent() {
        return sent.sum();
    }

    @Override
    public void close() {
        thread.close();
    }

    private void probe(AgentAction.Probe probe) {
        BackendServer server = probe.server();
        Request request = new Request.Builder()
                .url("http://" + server.host() + ":" + server.port() + probe.healthPath())
                .build();
        sent.increment();
        try (Response response = client.newCall(request).execute()) {
            LoadHeaders.parse(server.name(), response::header, WallClock.nowMicros())
                    .ifPresent(sink);
        } catch (IOException e) {
            // Ignored: the attempts of calls detect a failing server better than a failed probe does. The probe stays
            // charged to the budget.
        }
    }
}
