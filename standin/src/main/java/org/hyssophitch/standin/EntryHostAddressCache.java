package org.hyssophitch.standin;

import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

/**
 * Caches the entry host addresses that an agent returned to one caller, until their TTL expires. Not thread-safe.
 */
final class EntryHostAddressCache {

    private static final Pattern ADDRESS = Pattern.compile("\"([0-9.]+:[0-9]+)\"");
    private static final Pattern TTL_SECONDS = Pattern.compile("\"keepSeconds\":([0-9]+)");
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final int MAX_LOOKUPS = 5;

    private final OkHttpClient client;
    private final List<String> agents;
    private final String zone;
    private final SplittableRandom random;
    private List<String> addresses = List.of();
    private long expiryNanos = Long.MIN_VALUE;

    EntryHostAddressCache(OkHttpClient client, List<String> agents, String zone, SplittableRandom random) {
        this.client = client;
        this.agents = agents;
        this.zone = zone;
        this.random = random;
    }

    /** Returns the address for an attempt; each further attempt of the same request uses the next address. */
    String address(int attempt) throws IOException {
        if (addresses.isEmpty() || System.nanoTime() > expiryNanos) {
            lookUp();
        }
        return addresses.get(attempt % addresses.size());
    }

    /** Discards the addresses, so that the next attempt looks them up again. */
    void invalidate() {
        addresses = List.of();
    }

    private void lookUp() throws IOException {
        IOException lastFailure = new IOException("no agent responded to the address lookup");
        for (int i = 0; i < MAX_LOOKUPS; i++) {
            String agent = agents.get(random.nextInt(agents.size()));
            Request request = new Request.Builder()
                    .url("http://" + agent + "/addresses?zone=" + zone)
                    .build();
            try (Response response = client.newCall(request).execute()) {
                String body = response.body().string();
                if (response.isSuccessful()) {
                    update(body);
                    return;
                }
            } catch (IOException e) {
                lastFailure = e;
            }
        }
        throw lastFailure;
    }

    private void update(String body) {
        addresses = ADDRESS.matcher(body).results().map(r -> r.group(1)).toList();
        Matcher ttl = TTL_SECONDS.matcher(body);
        long seconds = ttl.find() ? Long.parseLong(ttl.group(1)) : 1;
        expiryNanos = System.nanoTime() + seconds * NANOS_PER_SECOND;
    }
}
