package org.hyssophitch.entry;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.RawValue;
import io.netty.channel.EventLoopGroup;
import org.hyssophitch.wire.net.EventLoops;
import org.hyssophitch.wire.net.HttpEndpoint;
import org.hyssophitch.wire.net.HttpQuery;
import org.hyssophitch.wire.net.HttpReply;

/** Fake of the platform's store: follows its published contract, with failures on demand. Thread-safe. */
public final class FakeStore implements AutoCloseable {

    /** How the store fails calls. */
    public enum FailureMode {
        /** All calls work. */
        NONE,
        /** Every call gets 503. */
        UNAVAILABLE,
        /** Every call gets 429. */
        THROTTLING,
        /** No call gets a response. */
        UNRESPONSIVE,
        /** Watches return no changes and end at their timeout; all other calls work. */
        SILENT_WATCHES,
        /** Every response comes late. */
        SLOW,
        /** Writes take effect, but their responses are lost. */
        LOST_WRITE_RESPONSES
    }

    private static final JsonMapper JSON = new JsonMapper();
    private static final String PREFIX = "/v1/objects/";
    /** Maximum number of objects in one list response, as on the platform. */
    private static final int PAGE_SIZE = 500;

    private static final long SLOW_RESPONSE_MILLIS = 700;

    private record Event(long revision, String kind, ObjectNode object, boolean deleted) {}

    /** Objects of all kinds at one revision. */
    record Copy(long revision, Map<String, Map<String, ObjectNode>> kinds) {}

    private record PendingWatch(String kind, long revision, CompletableFuture<HttpReply> response) {}

    private final EventLoopGroup group = EventLoops.create(1);
    private final HttpEndpoint endpoint;
    private final Map<String, Map<String, ObjectNode>> kinds = new HashMap<>();
    private final List<Event> history = new ArrayList<>();
    private final List<PendingWatch> pendingWatches = new ArrayList<>();
    private final List<String> calls = new ArrayList<>();
    private long revision = 1;
    private long compactedRevision;
    private long era = 1;
    private FailureMode failureMode = FailureMode.NONE;

    /** Opens the store on a port of 127.0.0.1. */
    public FakeStore(int port) {
        endpoint = new HttpEndpoint(group, new InetSocketAddress("127.0.0.1", port), q -> handle(q)
                .thenCompose(this::delay)
                .thenApply(r -> r.withHeaders(Map.of("Store-Era", Long.toString(era)))));
    }

    /** Sets how calls fail from now on. */
    public synchronized void setFailureMode(FailureMode value) {
        failureMode = value;
    }

    /** Ends the pending watches with 503. */
    public synchronized void cutWatches() {
        List<PendingWatch> cut = List.copyOf(pendingWatches);
        pendingWatches.clear();
        cut.forEach(w -> w.response().complete(HttpReply.empty(503)));
    }

    /** Drops the history and ends the pending watches with 410. */
    public synchronized void compact() {
        compactedRevision = revision;
        history.clear();
        pendingWatches.forEach(w -> w.response().complete(HttpReply.empty(410)));
        pendingWatches.clear();
    }

    /** Returns a copy of the objects, to which {@link #restore} can return. */
    synchronized Copy copy() {
        Map<String, Map<String, ObjectNode>> copied = new HashMap<>();
        kinds.forEach((kind, objects) -> copied.put(kind, new TreeMap<>(objects)));
        return new Copy(revision, copied);
    }

    /** Returns to an earlier copy: what was written since is lost, and its revisions are issued again. */
    synchronized void restore(Copy copy) {
        era++;
        revision = copy.revision();
        kinds.clear();
        copy.kinds().forEach((kind, objects) -> kinds.put(kind, new TreeMap<>(objects)));
        history.removeIf(e -> e.revision() > copy.revision());
        pendingWatches.forEach(w -> w.response().complete(HttpReply.empty(503)));
        pendingWatches.clear();
    }

    /** Writes an object, as the operator or a backend server would. */
    public synchronized void put(String kind, String name, String specification) {
        try {
            store(kind, name, JSON.readTree(specification));
        } catch (JsonProcessingException e) {
            throw new AssertionError("test object is not valid JSON", e);
        }
    }

    /** Writes an object whose content needn't be JSON, as another writer would. */
    synchronized void putRaw(String kind, String name, String content) {
        store(kind, name, JSON.getNodeFactory().rawValueNode(new RawValue(content)));
    }

    /** Deletes an object, if it exists. */
    public synchronized void remove(String kind, String name) {
        ObjectNode object = kinds.getOrDefault(kind, Map.of()).get(name);
        if (object != null) {
            kinds.get(kind).remove(name);
            revision++;
            publish(new Event(revision, kind, object, true));
        }
    }

    /** Returns an object's specification, or null if there is no such object. */
    synchronized JsonNode get(String kind, String name) {
        ObjectNode object = kinds.getOrDefault(kind, Map.of()).get(name);
        return object == null ? null : object.get("specification");
    }

    /** Returns the calls received so far, each as method and path. */
    synchronized List<String> calls() {
        return List.copyOf(calls);
    }

    @Override
    public void close() {
        endpoint.close();
        EventLoops.close(group);
    }

    private synchronized CompletionStage<HttpReply> handle(HttpQuery q) {
        calls.add(q.method() + ' ' + q.path());
        if (failureMode == FailureMode.UNRESPONSIVE) {
            return new CompletableFuture<>();
        }
        if (failureMode == FailureMode.UNAVAILABLE || failureMode == FailureMode.THROTTLING) {
            return done(HttpReply.empty(failureMode == FailureMode.UNAVAILABLE ? 503 : 429));
        }
        String[] parts = q.path().substring(PREFIX.length()).split("/");
        boolean isWrite = !q.method().equals("GET");
        CompletionStage<HttpReply> response = isWrite ? done(write(q, parts)) : read(q, parts[0]);
        return isWrite && failureMode == FailureMode.LOST_WRITE_RESPONSES ? new CompletableFuture<>() : response;
    }

    private synchronized CompletionStage<HttpReply> delay(HttpReply reply) {
        if (failureMode != FailureMode.SLOW) {
            return done(reply);
        }
        CompletableFuture<HttpReply> late = new CompletableFuture<>();
        group.schedule(() -> late.complete(reply), SLOW_RESPONSE_MILLIS, TimeUnit.MILLISECONDS);
        return late;
    }

    private CompletionStage<HttpReply> read(HttpQuery q, String kind) {
        if (!q.parameters().containsKey("watch")) {
            return done(list(kind, q.parameter("after", "")));
        }
        long since = q.parameter("watch", 0L);
        if (since < compactedRevision || since > revision) {
            return done(HttpReply.empty(410));
        }
        List<Event> newer = history.stream()
                .filter(e -> e.kind().equals(kind) && e.revision() > since)
                .toList();
        if (!newer.isEmpty() && failureMode != FailureMode.SILENT_WATCHES) {
            return done(events(newer));
        }
        CompletableFuture<HttpReply> response = new CompletableFuture<>();
        pendingWatches.add(new PendingWatch(kind, since, response));
        group.schedule(() -> response.complete(events(List.of())), q.parameter("wait_ms", 0L), TimeUnit.MILLISECONDS);
        return response;
    }

    private HttpReply write(HttpQuery q, String[] parts) {
        try {
            return switch (q.method()) {
                case "POST" -> {
                    JsonNode body = JSON.readTree(q.body());
                    String name = body.path("metadata").path("name").asText();
                    yield kinds.getOrDefault(parts[0], Map.of()).containsKey(name)
                            ? HttpReply.json(409, "{}")
                            : HttpReply.json(
                                    200,
                                    store(parts[0], name, body.get("specification"))
                                            .toString());
                }
                case "PUT" -> {
                    JsonNode body = JSON.readTree(q.body());
                    ObjectNode known = kinds.getOrDefault(parts[0], Map.of()).get(parts[1]);
                    long expected = body.path("metadata").path("revision").asLong();
                    yield known == null
                            ? HttpReply.json(404, "{}")
                            : known.path("metadata").path("revision").asLong() != expected
                                    ? HttpReply.json(409, "{}")
                                    : HttpReply.json(
                                            200,
                                            store(parts[0], parts[1], body.get("specification"))
                                                    .toString());
                }
                case "DELETE" -> delete(parts[0], parts[1], q.parameter("revision", 0L));
                default -> HttpReply.empty(405);
            };
        } catch (IOException e) {
            return HttpReply.empty(400);
        }
    }

    private HttpReply delete(String kind, String name, long expected) {
        ObjectNode known = kinds.getOrDefault(kind, Map.of()).get(name);
        if (known == null) {
            return HttpReply.json(404, "{}");
        }
        if (expected != 0 && known.path("metadata").path("revision").asLong() != expected) {
            return HttpReply.json(409, "{}");
        }
        remove(kind, name);
        return HttpReply.json(200, "{}");
    }

    private ObjectNode store(String kind, String name, JsonNode specification) {
        revision++;
        ObjectNode object = JSON.createObjectNode();
        object.putObject("metadata").put("name", name).put("revision", revision);
        object.set("specification", specification);
        object.putNull("status");
        kinds.computeIfAbsent(kind, k -> new TreeMap<>()).put(name, object);
        publish(new Event(revision, kind, object, false));
        return object;
    }

    private void publish(Event event) {
        history.add(event);
        if (failureMode == FailureMode.SILENT_WATCHES) {
            return;
        }
        List<PendingWatch> notified = pendingWatches.stream()
                .filter(w -> w.kind().equals(event.kind()) && w.revision() < event.revision())
                .toList();
        pendingWatches.removeAll(notified);
        notified.forEach(w -> w.response().complete(events(List.of(event))));
    }

    private HttpReply list(String kind, String after) {
        ObjectNode response = JSON.createObjectNode();
        ArrayNode items = response.putArray("items");
        List<ObjectNode> remaining = kinds.getOrDefault(kind, Map.of()).entrySet().stream()
                .filter(e -> e.getKey().compareTo(after) > 0)
                .map(Map.Entry::getValue)
                .toList();
        remaining.stream().limit(PAGE_SIZE).forEach(items::add);
        response.put("has_more", remaining.size() > PAGE_SIZE).put("store_revision", revision);
        return HttpReply.json(200, response.toString());
    }

    private HttpReply events(List<Event> events) {
        ObjectNode response = JSON.createObjectNode();
        ArrayNode list = response.putArray("events");
        events.forEach(e -> list.addObject().put("deleted", e.deleted()).set("object", e.object()));
        response.put("store_revision", revision);
        return HttpReply.json(200, response.toString());
    }

    private static CompletionStage<HttpReply> done(HttpReply reply) {
        return CompletableFuture.completedFuture(reply);
    }
}
