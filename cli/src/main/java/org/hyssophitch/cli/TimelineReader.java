package org.hyssophitch.cli;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Reads the time lines of all processes and merges them in causal order. Not thread-safe; each reading goes on where
 * the last one ended.
 */
final class TimelineReader {

    private final ClientContext context;
    private final List<String> urls;
    private final Map<String, Long> next = new ConcurrentHashMap<>();

    TimelineReader(ClientContext context) {
        this.context = context;
        this.urls = context.timelineUrls();
    }

    boolean hasProcesses() {
        return !urls.isEmpty();
    }

    /** Returns the events since the last reading, of one request, or of all for an empty id. */
    List<EventView> read(String requestId) {
        return urls.parallelStream()
                .flatMap(u -> read(u, requestId))
                .sorted(EventView.CAUSAL)
                .toList();
    }

    private Stream<EventView> read(String url, String requestId) {
        Optional<JsonNode> answer =
                context.read(url + "?since=" + next.getOrDefault(url, 0L) + "&request=" + requestId);
        return answer.stream().flatMap(a -> {
            next.put(url, a.get("next").asLong());
            return StreamSupport.stream(a.get("events").spliterator(), false).map(EventView::of);
        });
    }
}
