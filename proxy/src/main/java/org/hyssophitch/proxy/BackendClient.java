package org.hyssophitch.proxy;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import okhttp3.Call;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.Interceptor;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

/**
 * HTTP client towards backend servers. Thread-safe; lives as long as the process.
 *
 * <p>Everything by which the client would send a request again on its own is switched off: only the engine decides on
 * that. Non-idempotent requests use connections that were used within the last half second or new ones, since an older
 * one may have gone silent.
 */
final class BackendClient {

    /** Header under which a backend server's own {@code Retry-After} passes the client's automatic repetition. */
    static final String HELD_RETRY_AFTER = "Hyssophitch-Held-Retry-After";

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final int MAX_IDLE_CONNECTIONS = 512;
    private static final long IDLE_SECONDS = 5;
    private static final long FRESH_MILLIS = 500;
    private static final String RETRY_AFTER = "Retry-After";

    private final OkHttpClient reusing;
    private final OkHttpClient fresh;
    private final Map<Integer, OkHttpClient> reusingByStall = new ConcurrentHashMap<>();
    private final Map<Integer, OkHttpClient> freshByStall = new ConcurrentHashMap<>();

    BackendClient() {
        reusing = base(new ConnectionPool(MAX_IDLE_CONNECTIONS, IDLE_SECONDS, TimeUnit.SECONDS));
        fresh = base(new ConnectionPool(MAX_IDLE_CONNECTIONS, FRESH_MILLIS, TimeUnit.MILLISECONDS));
    }

    /**
     * Prepares one attempt.
     *
     * @param request request to send
     * @param isIdempotent whether any pooled connection may be used
     * @param stallMillis time in milliseconds without progress after which the connection is given up
     * @param progress told how far the attempt got
     */
    Call call(Request request, boolean isIdempotent, int stallMillis, AttemptProgress progress) {
        OkHttpClient client = isIdempotent
                ? reusingByStall.computeIfAbsent(stallMillis, s -> withStall(reusing, s))
                : freshByStall.computeIfAbsent(stallMillis, s -> withStall(fresh, s));
        return client.newCall(
                request.newBuilder().tag(AttemptProgress.class, progress).build());
    }

    private static OkHttpClient base(ConnectionPool pool) {
        return new OkHttpClient.Builder()
                .connectionPool(pool)
                .dispatcher(new Dispatcher())
                .connectTimeout(CONNECT_TIMEOUT)
                .retryOnConnectionFailure(false)
                .followRedirects(false)
                .followSslRedirects(false)
                .eventListenerFactory(call -> call.request().tag(AttemptProgress.class))
                .addNetworkInterceptor(BackendClient::holdRetryAfter)
                .build();
    }

    private static OkHttpClient withStall(OkHttpClient client, int stallMillis) {
        Duration stall = Duration.ofMillis(stallMillis);
        return client.newBuilder().readTimeout(stall).writeTimeout(stall).build();
    }

    /** The client repeats a request by itself after a 503 with {@code Retry-After: 0}, so it must not see that. */
    private static Response holdRetryAfter(Interceptor.Chain chain) throws IOException {
        Response response = chain.proceed(chain.request());
        String value = response.header(RETRY_AFTER);
        return value == null
                ? response
                : response.newBuilder()
                        .removeHeader(RETRY_AFTER)
                        .header(HELD_RETRY_AFTER, value)
                        .build();
    }
}
