package org.hyssophitch.wire.platform;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

import okhttp3.ConnectionPool;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.hyssophitch.core.control.ListedHost;
import org.hyssophitch.wire.net.StrictResponseInterceptor;

/**
 * Client for the platform's object API and host list. Thread-safe; calls block the calling thread.
 *
 * <p>Object versions are sent as entity tags, and write preconditions as {@code If-Match} and {@code If-None-Match}. A
 * watch is a long-polling request, which the platform answers when the object changes.
 */
public final class PlatformClient {

    /** Name of the object that contains the configuration. */
    public static final String CONFIGURATION = "configuration";

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(3);
    private static final int WATCH_TIMEOUT_SECONDS = 20;
    private static final MediaType BINARY = MediaType.get("application/octet-stream");
    private static final int NO_CONTENT = 204;
    private static final int NOT_FOUND = 404;
    private static final int PRECONDITION_FAILED = 412;
    private static final int TOO_MANY_REQUESTS = 429;

    private final String baseUrl;
    private final OkHttpClient client;
    private final OkHttpClient watchClient;
    private final LongAdder calls = new LongAdder();

    /**
     * Creates a client without opening a connection.
     *
     * @param address address of the platform, {@code ip:port}
     */
    public PlatformClient(String address) {
        baseUrl = "http://" + address;
        client = new OkHttpClient.Builder()
                .callTimeout(CALL_TIMEOUT)
                .addNetworkInterceptor(new StrictResponseInterceptor())
                .connectionPool(new ConnectionPool(1, 1, TimeUnit.MINUTES))
                .build();
        watchClient = client.newBuilder()
                .callTimeout(Duration.ofSeconds(WATCH_TIMEOUT_SECONDS).plus(CALL_TIMEOUT))
                .readTimeout(Duration.ofSeconds(WATCH_TIMEOUT_SECONDS).plus(CALL_TIMEOUT))
                .build();
    }

    /** Reads an object. */
    public PlatformResult<byte[]> get(String name) {
        return call(client, new Request.Builder().url(objectUrl(name)).build());
    }

    /** Blocks until an object has a version later than the given one, or until the watch times out. */
    public PlatformResult<byte[]> watch(String name, long afterVersion) {
        String url = objectUrl(name) + "?after=" + afterVersion + "&wait=" + WATCH_TIMEOUT_SECONDS;
        return call(watchClient, new Request.Builder().url(url).build());
    }

    /**
     * Writes an object if it still has the expected version.
     *
     * @param name name of the object
     * @param value new value
     * @param expectedVersion version that the object must have; 0 if it must not exist
     */
    public PlatformResult<byte[]> put(String name, byte[] value, long expectedVersion) {
        Request.Builder request = new Request.Builder().url(objectUrl(name)).put(RequestBody.create(value, BINARY));
        if (expectedVersion == 0) {
            request.header("If-None-Match", "*");
        } else {
            request.header("If-Match", '"' + Long.toString(expectedVersion) + '"');
        }
        return call(client, request.build());
    }

    /** Reads the platform's host list. */
    public PlatformResult<List<ListedHost>> hosts() {
        Request request = new Request.Builder().url(baseUrl + "/hosts").build();
        return call(client, request).flatMap(PlatformClient::parseHosts);
    }

    /** Returns the number of calls started so far; a watch counts as one call. */
    public long calls() {
        return calls.sum();
    }

    private String objectUrl(String name) {
        return baseUrl + "/objects/" + name;
    }

    private PlatformResult<byte[]> call(OkHttpClient httpClient, Request request) {
        calls.increment();
        try (Response response = httpClient.newCall(request).execute()) {
            byte[] body = response.body().bytes();
            return interpret(request, response, body);
        } catch (IOException e) {
            return new PlatformResult.Unreachable<>(e.getClass().getSimpleName());
        }
    }

    private static PlatformResult<byte[]> interpret(Request request, Response response, byte[] body) {
        long version = version(response.header("ETag", ""));
        return switch (response.code()) {
            case NO_CONTENT, NOT_FOUND -> new PlatformResult.Absent<>();
            case PRECONDITION_FAILED -> new PlatformResult.Conflict<>(version);
            case TOO_MANY_REQUESTS -> new PlatformResult.Throttled<>();
            default -> {
                if (!response.isSuccessful()) {
                    yield new PlatformResult.Unreachable<>("status-" + response.code());
                }
                boolean isWrite = request.method().equals("PUT");
                yield isWrite ? new PlatformResult.Written<>(version) : new PlatformResult.Found<>(body, version);
            }
        };
    }

    private static long version(String entityTag) {
        String digits = entityTag.replace("\"", "");
        try {
            return digits.isEmpty() ? 0 : Long.parseLong(digits);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    private static PlatformResult<List<ListedHost>> parseHosts(PlatformResult.Found<byte[]> found) {
        try {
            return new PlatformResult.Found<>(HostListParser.parse(found.value()), found.version());
        } catch (IOException e) {
            return new PlatformResult.Unreachable<>("host-list-malformed");
        }
    }
}
