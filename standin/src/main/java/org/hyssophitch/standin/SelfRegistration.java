package org.hyssophitch.standin;

import java.io.IOException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.tinylog.Logger;

/**
 * Registers backend servers that are not in the configuration document with the platform, and renews their
 * registrations until {@link #close}. Thread-safe.
 */
public final class SelfRegistration implements AutoCloseable {

    private static final long RENEWAL_PERIOD_MILLIS = 1_500;

    private final OkHttpClient client = new OkHttpClient();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final String platform;

    /**
     * Creates a registration client without registrations.
     *
     * @param platform address of the platform, {@code ip:port}
     */
    public SelfRegistration(String platform) {
        this.platform = platform;
    }

    /** Registers a server and keeps renewing its registration. */
    public void register(String name, String service, String address, String zone, int slots) {
        String entry = String.format(
                "{\"name\":\"%s\",\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"slots\":%d}",
                name, service, address, zone, slots);
        timer.scheduleWithFixedDelay(() -> put(name, entry), 0, RENEWAL_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Stops the renewals, so that the registrations expire. */
    @Override
    public void close() {
        timer.shutdownNow();
    }

    private void put(String name, String entry) {
        Request request = new Request.Builder()
                .url("http://" + platform + "/hosts/" + name)
                .put(RequestBody.create(entry, null))
                .build();
        try (Response response = client.newCall(request).execute()) {
            if (!response.isSuccessful()) {
                Logger.warn("registration of {} was rejected with status {}", name, response.code());
            }
        } catch (IOException e) {
            Logger.warn("registration of {} failed: {}", name, e.toString());
        }
    }
}
