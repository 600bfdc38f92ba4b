package org.hyssophitch.cli;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.JsonNode;
import org.hyssophitch.core.timeline.HybridTimestamp;

/**
 * One timeline event of a process. Immutable.
 *
 * @param at hybrid logical timestamp
 * @param json event as returned by the process
 */
record EventView(HybridTimestamp at, JsonNode json) {

    /** Orders the events of all processes causally: by timestamp, then by process name. */
    static final Comparator<EventView> CAUSAL =
            Comparator.comparing(EventView::at).thenComparing(EventView::process);

    static EventView of(JsonNode json) {
        return new EventView(HybridTimestamp.parse(json.get("at").asText()), json);
    }

    String process() {
        return json.get("process").asText();
    }

    String type() {
        return json.get("type").asText();
    }

    JsonNode body() {
        return json.get("body");
    }

    /** Returns the event as one line of text. */
    String line() {
        Instant time = Instant.EPOCH.plus(Duration.ofNanos(TimeUnit.MICROSECONDS.toNanos(at.micros())));
        String request = json.get("requestId").asText();
        return String.format(
                "%s+%d %-16s %-20s %s %s", time, at.counter(), process(), type(), formatScalarFields(), request);
    }

    private String formatScalarFields() {
        return StreamSupport.stream(((Iterable<String>) () -> body().fieldNames()).spliterator(), false)
                .filter(n -> !body().get(n).isContainerNode())
                .map(n -> n + "=" + body().get(n).asText())
                .collect(Collectors.joining(" "));
    }
}
