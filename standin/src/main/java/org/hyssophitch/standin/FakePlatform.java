package org.hyssophitch.standin;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.netty.channel.EventLoopGroup;
import org.hyssophitch.core.load.TokenBucket;
import org.hyssophitch.wire.concurrent.WallClock;
import org.hyssophitch.wire.net.Addresses;
import org.hyssophitch.wire.net.EventLoops;
import org.hyssophitch.wire.net.HttpEndpoint;
import org.hyssophitch.wire.net.HttpQuery;
import org.hyssophitch.wire.net.HttpReply;

/**
 * Fake platform for tests: object API and host list, with fault injection. Thread-safe, because all state is confined
 * to one event loop.
 *
 * <p>{@code POST /faults} takes {@code outage} (true or false), {@code lost-answers} (number of writes that take effect
 * but respond with 504), {@code stale-reads} (number of reads that return the version before the latest), {@code rate}
 * (calls per second) and {@code host-lag-ms} (delay of the host list in milliseconds).
 *
 * <p>{@code PUT /hosts/NAME} registers an entry of the host list, a JSON object, until its lease expires;
 * {@code DELETE} removes it.
 */
public final class FakePlatform implements AutoCloseable {

    private static final int OK = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_FOUND = 404;
    private static final int PRECONDITION_FAILED = 412;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final double DEFAULT_CALLS_PER_SECOND = 2_000;
    /** Lifetime of a registration that is not renewed. */
    private static final long LEASE_MICROS = 4_500_000;

    private static final long LEASE_CHECK_MILLIS = 100;

    private record StoredVersion(long version, byte[] value) {}

    private record Watch(String name, long after, CompletableFuture<HttpReply> reply) {}

    private record HostListVersion(long publishedMicros, byte[] json) {}

    private record Registration(String json, long expiryMicros) {}

    private final EventLoopGroup group = EventLoops.create(1);
    private final HttpEndpoint endpoint;
    private final Map<String, Deque<StoredVersion>> objects = new HashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private final Deque<HostListVersion> hostLists = new ArrayDeque<>();
    private final Map<String, Registration> registrations = new TreeMap<>();
    private String staticHosts = "[]";
    private final TokenBucket rateLimiter =
            new TokenBucket(DEFAULT_CALLS_PER_SECOND, DEFAULT_CALLS_PER_SECOND, WallClock.nowMicros());
    private boolean isOutage;
    private long lostAnswers;
    private long staleReads;
    private long hostLagMicros;
    private long calls;

    /** Starts the fake platform at an address, {@code ip:port}. */
    public FakePlatform(String address) {
        hostLists.add(new HostListVersion(0, staticHosts.getBytes(StandardCharsets.UTF_8)));
        endpoint = new HttpEndpoint(group, Addresses.parse(address), this::handle);
        group.scheduleWithFixedDelay(
                this::removeExpiredRegistrations, LEASE_CHECK_MILLIS, LEASE_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Sets the host list, a JSON array of objects with {@code name}, {@code agent} and {@code leaving}. */
    public void setHosts(String json) {
        group.execute(() -> {
            staticHosts = json;
            publishHosts();
        });
    }

    @Override
    public void close() {
        endpoint.close();
        EventLoops.close(group);
    }

    private CompletionStage<HttpReply> handle(HttpQuery q) {
        if (q.path().equals("/faults")) {
            setFaults(q);
            return completed(HttpReply.json(OK, "{\"calls\":" + calls + "}"));
        }
        if (q.path().equals("/hosts") && q.method().equals("PUT")) {
            staticHosts = new String(q.body(), StandardCharsets.UTF_8);
            publishHosts();
            return completed(HttpReply.empty(OK));
        }
        calls++;
        if (isOutage) {
            return completed(HttpReply.empty(UNAVAILABLE));
        }
        if (!rateLimiter.tryTake(1, WallClock.nowMicros())) {
            return completed(HttpReply.empty(TOO_MANY_REQUESTS));
        }
        if (q.path().startsWith("/hosts/")) {
            return completed(register(q.path().substring("/hosts/".length()), q));
        }
        if (q.path().equals("/hosts")) {
            return completed(new HttpReply(OK, "application/json", delayedHosts(), Map.of()));
        }
        return q.path().startsWith("/objects/") ? object(q) : completed(HttpReply.notFound());
    }

    private HttpReply register(String name, HttpQuery q) {
        boolean isRemoval = q.method().equals("DELETE");
        String entry = isRemoval ? "" : new String(q.body(), StandardCharsets.UTF_8);
        Registration previous = isRemoval
                ? registrations.remove(name)
                : registrations.put(name, new Registration(entry, WallClock.nowMicros() + LEASE_MICROS));
        if (previous == null || !previous.json().equals(entry)) {
            publishHosts();
        }
        return HttpReply.empty(OK);
    }

    private void removeExpiredRegistrations() {
        if (registrations.values().removeIf(r -> r.expiryMicros() <= WallClock.nowMicros())) {
            publishHosts();
        }
    }

    private void publishHosts() {
        String inner = staticHosts
                .strip()
                .substring(1, staticHosts.strip().length() - 1)
                .strip();
        Stream<String> entries = Stream.concat(
                inner.isEmpty() ? Stream.empty() : Stream.of(inner),
                registrations.values().stream().map(Registration::json));
        String json = entries.collect(Collectors.joining(",", "[", "]"));
        hostLists.addLast(new HostListVersion(WallClock.nowMicros(), json.getBytes(StandardCharsets.UTF_8)));
    }

    private CompletionStage<HttpReply> object(HttpQuery q) {
        String name = q.path().substring("/objects/".length());
        if (q.method().equals("PUT")) {
            return completed(put(name, q));
        }
        long after = q.parameter("after", -1);
        return after < 0 ? completed(read(name)) : watch(name, after, q.parameter("wait", 20));
    }

    private HttpReply put(String name, HttpQuery q) {
        long current = latest(name) == null ? 0 : latest(name).version();
        long expected = q.header("if-match")
                .map(v -> Long.parseLong(v.replace("\"", "")))
                .orElse(0L);
        if (expected != current) {
            return HttpReply.empty(PRECONDITION_FAILED).withHeaders(etag(current));
        }
        StoredVersion stored = new StoredVersion(current + 1, q.body());
        objects.computeIfAbsent(name, n -> new ArrayDeque<>()).addLast(stored);
        completeWatches(name, stored);
        if (lostAnswers > 0) {
            lostAnswers--;
            return HttpReply.empty(GATEWAY_TIMEOUT);
        }
        return HttpReply.empty(OK).withHeaders(etag(stored.version()));
    }

    private HttpReply read(String name) {
        Deque<StoredVersion> versions = objects.get(name);
        if (versions == null) {
            return HttpReply.empty(NOT_FOUND);
        }
        if (staleReads > 0 && versions.size() > 1) {
            staleReads--;
            return toReply(
                    versions.stream().skip(versions.size() - 2L).findFirst().orElseThrow());
        }
        return toReply(versions.getLast());
    }

    private CompletionStage<HttpReply> watch(String name, long after, long waitSeconds) {
        StoredVersion current = latest(name);
        if (current != null && current.version() > after) {
            return completed(toReply(current));
        }
        Watch watch = new Watch(name, after, new CompletableFuture<>());
        watches.add(watch);
        group.schedule(
                () -> {
                    watches.remove(watch);
                    watch.reply().complete(HttpReply.empty(NO_CONTENT));
                },
                waitSeconds,
                TimeUnit.SECONDS);
        return watch.reply();
    }

    private void completeWatches(String name, StoredVersion stored) {
        List<Watch> triggered = watches.stream()
                .filter(w -> w.name().equals(name) && stored.version() > w.after())
                .toList();
        watches.removeAll(triggered);
        triggered.forEach(w -> w.reply().complete(isOutage ? HttpReply.empty(UNAVAILABLE) : toReply(stored)));
    }

    private void setFaults(HttpQuery q) {
        isOutage = q.parameter("outage", Boolean.toString(isOutage)).equals("true");
        lostAnswers = q.parameter("lost-answers", lostAnswers);
        staleReads = q.parameter("stale-reads", staleReads);
        hostLagMicros = TimeUnit.MILLISECONDS.toMicros(
                q.parameter("host-lag-ms", TimeUnit.MICROSECONDS.toMillis(hostLagMicros)));
        long newRate = q.parameter("rate", 0);
        if (newRate > 0) {
            rateLimiter.setRate(newRate, newRate, WallClock.nowMicros());
        }
        if (isOutage) {
            watches.forEach(w -> w.reply().complete(HttpReply.empty(UNAVAILABLE)));
            watches.clear();
        }
    }

    private byte[] delayedHosts() {
        long cutoffMicros = WallClock.nowMicros() - hostLagMicros;
        while (hostLists.size() > 1
                && hostLists.stream().skip(1).findFirst().orElseThrow().publishedMicros() <= cutoffMicros) {
            hostLists.removeFirst();
        }
        return hostLists.getFirst().json();
    }

    private StoredVersion latest(String name) {
        Deque<StoredVersion> versions = objects.get(name);
        return versions == null ? null : versions.getLast();
    }

    private static HttpReply toReply(StoredVersion s) {
        return new HttpReply(OK, "application/octet-stream", s.value(), etag(s.version()));
    }

    private static Map<String, String> etag(long version) {
        return Map.of("ETag", '"' + Long.toString(version) + '"');
    }

    private static CompletionStage<HttpReply> completed(HttpReply reply) {
        return CompletableFuture.completedFuture(reply);
    }
}
