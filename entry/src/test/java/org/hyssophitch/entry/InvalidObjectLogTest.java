package org.hyssophitch.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import org.hyssophitch.core.store.InvalidObject;
import org.hyssophitch.core.timeline.EventBody;
import org.hyssophitch.wire.report.MetricsText;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Each list returns an unusable object again; guards against a line for each of them. */
public class InvalidObjectLogTest {

    private final EntryMetrics metrics = new EntryMetrics();
    private final List<EventBody> lines = new ArrayList<>();
    private final InvalidObjectLog log = new InvalidObjectLog(metrics, (now, request, body) -> lines.add(body));

    @Test
    public void recordsAnObjectOnceUntilItChanges() {
        InvalidObject first = new InvalidObject("servers", "i-1", 7, "missing or invalid field: address");
        log.onInvalid(first);
        log.onInvalid(first);
        log.onInvalid(new InvalidObject("servers", "i-1", 9, "missing or invalid field: address"));
        assertEquals(
                lines,
                List.of(
                        new EventBody.StoreObjectIgnored("servers", "i-1", "missing or invalid field: address"),
                        new EventBody.StoreObjectIgnored("servers", "i-1", "missing or invalid field: address")));
        assertTrue(MetricsText.of(metrics.registry())
                .contains("hyssophitch_store_objects_ignored_total{kind=\"servers\"} 2"));
    }

    @Test
    public void shortensLongNames() {
        log.onInvalid(new InvalidObject("evacuations", "z".repeat(1_000_000), 1, "name is too long"));
        EventBody.StoreObjectIgnored line = (EventBody.StoreObjectIgnored) lines.getLast();
        assertTrue(line.name().length() < 100);
    }

    @Test
    public void remembersABoundedNumberOfObjects() {
        IntStream.range(0, 5_000)
                .forEach(i -> log.onInvalid(new InvalidObject("servers", "i-" + i, 1, "malformed JSON at byte 0")));
        lines.clear();
        log.onInvalid(new InvalidObject("servers", "i-0", 1, "malformed JSON at byte 0"));
        assertEquals(lines.size(), 1);
    }
}
