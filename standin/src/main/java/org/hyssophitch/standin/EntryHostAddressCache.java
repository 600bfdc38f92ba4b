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
 * The entry host addresses that one caller was told to use, kept as long as allowed. Not thread-safe.
 */
final class EntryHostAddressCache {

    private static final Pattern ADDRESS = Pattern.compile("\"([0-9.]+:[0-9]+)\"");
    private static final Pattern KEEP = Pattern.compile("\"keepSeconds\":([0-9]+)");
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final int QUESTIONS = 5;

    private final OkHttpClient client;
    private final List<String> agents;
    private final String zone;
    private final SplittableRandom random;
    private List<String> addresses = List.of();
    private long keptUntilNanos = Long.MIN_VALUE;

    EntryHostAddressCache(OkHttpClient client, List<String> agents, String zone, SplittableRandom random) {
        this.client = client;
        this.agents = agents;
        this.zone = zone;
        this.random = random;
    }

    /** Returns the address for a sending; later sendings of the same request use the next address. */
    String address(int sending) throws IOException {
        if (addresses.isEmpty() || System.nanoTime() > keptUntilNanos) {
            ask();
        }
        return addresses.get(sending % addresses.size());
    }

    /** Forgets the answer, so that the next sending asks again. */
    void forget() {
        addresses = List.of();
    }

    private void ask() throws IOException {
        IOException last = new IOException("no agent answered");
        for (int i = 0; i < QUESTIONS; i++) {
            String agent = agents.get(random.nextInt(agents.size()));
            Request request = new Request.Builder()
                    .url("http://" + agent + "/addresses?zone=" + zone)
                    .build();
            try (Response response = client.newCall(request).execute()) {
                String body = response.body().string();
                if (response.isSuccessful()) {
                    take(body);
                    return;
                }
            } catch (IOException e) {
                last = e;
            }
        }
        throw last;
    }

    private void take(String body) {
        addresses = ADDRESS.matcher(body).results().map(r -> r.group(1)).toList();
        Matcher keep = KEEP.matcher(body);
        long seconds = keep.find() ? Long.parseLong(keep.group(1)) : 1;
        keptUntilNanos = System.nanoTime() + seconds * NANOS_PER_SECOND;
    }
}
