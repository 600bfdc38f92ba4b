package org.hyssophitch.wire.report;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.RecordComponent;
import java.util.Collection;
import java.util.List;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import org.hyssophitch.core.timeline.ProcessTimeline;
import org.hyssophitch.core.timeline.TimelineEvent;

/**
 * Serializes records as JSON objects with one field per record component, named after it. Stateless.
 *
 * <p>Uses only the streaming generator, because data binding would exceed the memory limit of the agent.
 */
public final class TimelineJson {

    private static final JsonFactory FACTORY = new JsonFactory();

    private TimelineJson() {}

    /** Serializes the timeline events since a sequence number, of one request, or of all if its id is empty. */
    public static String events(ProcessTimeline timeline, long since, String requestId) {
        long next = timeline.ring().nextSequence();
        List<TimelineEvent> events = timeline.ring()
                .since(since, e -> requestId.isEmpty() || e.requestId().equals(requestId));
        return write(g -> {
            g.writeStartObject();
            g.writeNumberField("next", next);
            g.writeArrayFieldStart("events");
            for (TimelineEvent e : events) {
                writeEvent(g, e);
            }
            g.writeEndArray();
            g.writeEndObject();
        });
    }

    /** Serializes a record as a JSON object. */
    public static String record(Record r) {
        return write(g -> writeValue(g, r));
    }

    private static void writeEvent(JsonGenerator g, TimelineEvent e) throws IOException {
        g.writeStartObject();
        g.writeStringField("at", e.at().format());
        g.writeNumberField("micros", e.at().micros());
        g.writeStringField("process", e.process());
        g.writeStringField("zone", e.zone());
        g.writeStringField("requestId", e.requestId());
        g.writeStringField("type", e.body().type());
        g.writeFieldName("body");
        writeValue(g, e.body());
        g.writeEndObject();
    }

    private static void writeValue(JsonGenerator g, Object value) throws IOException {
        switch (value) {
            case null -> g.writeNull();
            case Record r -> writeRecord(g, r);
            case Collection<?> c -> writeArray(g, c);
            case Integer i -> g.writeNumber(i);
            case Long l -> g.writeNumber(l);
            case Double d -> g.writeNumber(d);
            case Boolean b -> g.writeBoolean(b);
            default -> g.writeString(value.toString());
        }
    }

    private static void writeArray(JsonGenerator g, Collection<?> values) throws IOException {
        g.writeStartArray();
        for (Object v : values) {
            writeValue(g, v);
        }
        g.writeEndArray();
    }

    private static void writeRecord(JsonGenerator g, Record r) throws IOException {
        g.writeStartObject();
        for (RecordComponent c : r.getClass().getRecordComponents()) {
            g.writeFieldName(c.getName());
            writeValue(g, component(r, c));
        }
        g.writeEndObject();
    }

    private static Object component(Record r, RecordComponent c) {
        try {
            c.getAccessor().setAccessible(true);
            return c.getAccessor().invoke(r);
        } catch (IllegalAccessException | InvocationTargetException e) {
            throw new UnwritableValueException(c, e);
        }
    }

    private interface Writer {
        void write(JsonGenerator g) throws IOException;
    }

    private static String write(Writer writer) {
        StringWriter out = new StringWriter();
        try (JsonGenerator g = FACTORY.createGenerator(out)) {
            writer.write(g);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toString();
    }
}
