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
import org.hyssophitch.wire.duty.WallClock;
import org.hyssophitch.wire.net.Addresses;
import org.hyssophitch.wire.net.EventLoops;
import org.hyssophitch.wire.net.HttpEndpoint;
import org.hyssophitch.wire.net.HttpQuery;
import org.hyssophitch.wire.net.HttpReply;

/**
 * Stand-in for the platform: object API and host list, with faults that can be switched. Its single event loop makes it
 * thread-safe.
 *
 * <p>{@code POST /faults} takes {@code outage} (true or false), {@code lost-answers} (writes that take effect without
 * an answer), {@code stale-reads} (reads answered from the copy before the latest), {@code rate} (calls per second) and
 * {@code host-lag-ms}.
 *
 * <p>{@code PUT /hosts/NAME} registers an entry of the host list, a JSON object, for some seconds; {@code DELETE} takes
 * it away.
 */
public final class FakePlatform implements AutoCloseable {

    private static final int OK = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_FOUND = 404;
    private static final int PRECONDITION_FAILED = 412;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final double DEFAULT_RATE = 2_000;
    /** Time in microseconds for which a registration holds that isn't renewed. */
    private static final long LEASE_MICROS = 4_500_000;

    private static final long LEASE_CHECK_MILLIS = 100;

    private record Stored(long version, byte[] value) {}

    private record Watch(String name, long after, CompletableFuture<HttpReply> reply) {}

    private record HostList(long sinceMicros, byte[] json) {}

    private record Registered(String json, long untilMicros) {}

    private final EventLoopGroup group = EventLoops.create(1);
    private final HttpEndpoint endpoint;
    private final Map<String, Deque<Stored>> objects = new HashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private final Deque<HostList> hostLists = new ArrayDeque<>();
    private final Map<String, Registered> registered = new TreeMap<>();
    private String given = "[]";
    private final TokenBucket rate = new TokenBucket(DEFAULT_RATE, DEFAULT_RATE, WallClock.nowMicros());
    private boolean isOutage;
    private long lostAnswers;
    private long staleReads;
    private long hostLagMicros;
    private long calls;

    /** Opens the stand-in at an address. */
    public FakePlatform(String address) {
        hostLists.add(new HostList(0, given.getBytes(StandardCharsets.UTF_8)));
        endpoint = new HttpEndpoint(group, Addresses.parse(address), this::handle);
        group.scheduleWithFixedDelay(this::dropLapsed, LEASE_CHECK_MILLIS, LEASE_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Sets the host list, a JSON array of objects with {@code name}, {@code agent} and {@code leaving}. */
    public void setHosts(String json) {
        group.execute(() -> {
            given = json;
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
            return done(HttpReply.json(OK, "{\"calls\":" + calls + "}"));
        }
        if (q.path().equals("/hosts") && q.method().equals("PUT")) {
            given = new String(q.body(), StandardCharsets.UTF_8);
            publishHosts();
            return done(HttpReply.empty(OK));
        }
        calls++;
        if (isOutage) {
            return done(HttpReply.empty(UNAVAILABLE));
        }
        if (!rate.tryTake(1, WallClock.nowMicros())) {
            return done(HttpReply.empty(TOO_MANY_REQUESTS));
        }
        if (q.path().startsWith("/hosts/")) {
            return done(register(q.path().substring("/hosts/".length()), q));
        }
        if (q.path().equals("/hosts")) {
            return done(new HttpReply(OK, "application/json", laggingHosts(), Map.of()));
        }
        return q.path().startsWith("/objects/") ? object(q) : done(HttpReply.notFound());
    }

    private HttpReply register(String name, HttpQuery q) {
        boolean isRemoval = q.method().equals("DELETE");
        String entry = isRemoval ? "" : new String(q.body(), StandardCharsets.UTF_8);
        Registered before = isRemoval
                ? registered.remove(name)
                : registered.put(name, new Registered(entry, WallClock.nowMicros() + LEASE_MICROS));
        if (before == null || !before.json().equals(entry)) {
            publishHosts();
        }
        return HttpReply.empty(OK);
    }

    private void dropLapsed() {
        if (registered.values().removeIf(r -> r.untilMicros() <= WallClock.nowMicros())) {
            publishHosts();
        }
    }

    private void publishHosts() {
        String inner = given.strip().substring(1, given.strip().length() - 1).strip();
        Stream<String> entries = Stream.concat(
                inner.isEmpty() ? Stream.empty() : Stream.of(inner),
                registered.values().stream().map(Registered::json));
        String json = entries.collect(Collectors.joining(",", "[", "]"));
        hostLists.addLast(new HostList(WallClock.nowMicros(), json.getBytes(StandardCharsets.UTF_8)));
    }

    private CompletionStage<HttpReply> object(HttpQuery q) {
        String name = q.path().substring("/objects/".length());
        if (q.method().equals("PUT")) {
            return done(put(name, q));
        }
        long after = q.parameter("after", -1);
        return after < 0 ? done(read(name)) : watch(name, after, q.parameter("wait", 20));
    }

    private HttpReply put(String name, HttpQuery q) {
        long current = latest(name) == null ? 0 : latest(name).version();
        long expected = q.header("if-match")
                .map(v -> Long.parseLong(v.replace("\"", "")))
                .orElse(0L);
        if (expected != current) {
            return HttpReply.empty(PRECONDITION_FAILED).withHeaders(tag(current));
        }
        Stored stored = new Stored(current + 1, q.body());
        objects.computeIfAbsent(name, n -> new ArrayDeque<>()).addLast(stored);
        completeWatches(name, stored);
        if (lostAnswers > 0) {
            lostAnswers--;
            return HttpReply.empty(GATEWAY_TIMEOUT);
        }
        return HttpReply.empty(OK).withHeaders(tag(stored.version()));
    }

    private HttpReply read(String name) {
        Deque<Stored> versions = objects.get(name);
        if (versions == null) {
            return HttpReply.empty(NOT_FOUND);
        }
        if (staleReads > 0 && versions.size() > 1) {
            staleReads--;
            return found(
                    versions.stream().skip(versions.size() - 2L).findFirst().orElseThrow());
        }
        return found(versions.getLast());
    }

    private CompletionStage<HttpReply> watch(String name, long after, long waitSeconds) {
        Stored current = latest(name);
        if (current != null && current.version() > after) {
            return done(found(current));
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

    private void completeWatches(String name, Stored stored) {
        List<Watch> due = watches.stream()
                .filter(w -> w.name().equals(name) && stored.version() > w.after())
                .toList();
        watches.removeAll(due);
        due.forEach(w -> w.reply().complete(isOutage ? HttpReply.empty(UNAVAILABLE) : found(stored)));
    }

    private void setFaults(HttpQuery q) {
        isOutage = q.parameter("outage", Boolean.toString(isOutage)).equals("true");
        lostAnswers = q.parameter("lost-answers", lostAnswers);
        staleReads = q.parameter("stale-reads", staleReads);
        hostLagMicros = TimeUnit.MILLISECONDS.toMicros(
                q.parameter("host-lag-ms", TimeUnit.MICROSECONDS.toMillis(hostLagMicros)));
        long newRate = q.parameter("rate", 0);
        if (newRate > 0) {
            rate.setRate(newRate, newRate, WallClock.nowMicros());
        }
        if (isOutage) {
            watches.forEach(w -> w.reply().complete(HttpReply.empty(UNAVAILABLE)));
            watches.clear();
        }
    }

    private byte[] laggingHosts() {
        long limit = WallClock.nowMicros() - hostLagMicros;
        while (hostLists.size() > 1
                && hostLists.stream().skip(1).findFirst().orElseThrow().sinceMicros() <= limit) {
            hostLists.removeFirst();
        }
        return hostLists.getFirst().json();
    }

    private Stored latest(String name) {
        Deque<Stored> versions = objects.get(name);
        return versions == null ? null : versions.getLast();
    }

    private static HttpReply found(Stored s) {
        return new HttpReply(OK, "application/octet-stream", s.value(), tag(s.version()));
    }

    private static Map<String, String> tag(long version) {
        return Map.of("ETag", '"' + Long.toString(version) + '"');
    }

    private static CompletionStage<HttpReply> done(HttpReply reply) {
        return CompletableFuture.completedFuture(reply);
    }
}
