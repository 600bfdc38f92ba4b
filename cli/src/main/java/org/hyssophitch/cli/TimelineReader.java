package org.hyssophitch.cli;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Reads the timelines of all processes and merges them in causal order. Each read returns only the events that
 * followed the previous read. Not thread-safe.
 */
final class TimelineReader {

    private final ClientContext context;
    private final List<String> urls;
    private final Map<String, Long> nextPositions = new ConcurrentHashMap<>();

    TimelineReader(ClientContext context) {
        this.context = context;
        this.urls = context.timelineUrls();
    }

    /** Returns whether there is any process to read from. */
    boolean hasSources() {
        return !urls.isEmpty();
    }

    /** Returns the events since the last read: of one request, or of all for an empty id. */
    List<EventView> read(String requestId) {
        return urls.parallelStream()
                .flatMap(u -> read(u, requestId))
                .sorted(EventView.CAUSAL)
                .toList();
    }

    private Stream<EventView> read(String url, String requestId) {
        Optional<JsonNode> response =
                context.fetchJson(url + "?since=" + nextPositions.getOrDefault(url, 0L) + "&request=" + requestId);
        return response.stream().flatMap(r -> {
            nextPositions.put(url, r.get("next").asLong());
            return StreamSupport.stream(r.get("events").spliterator(), false).map(EventView::of);
        });
    }
}
