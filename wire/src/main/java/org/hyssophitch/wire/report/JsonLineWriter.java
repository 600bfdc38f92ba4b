package org.hyssophitch.wire.report;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.LongAdder;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * Tinylog writer that prints log entries as JSON lines on standard output. Thread-safe; runs from construction until
 * {@link #close}.
 *
 * <p>A separate thread writes the lines from a bounded queue, so that a slow reader of the output never blocks the
 * logging threads. Lines are dropped and counted while the queue is full. A message that is a JSON object is written as
 * an object, not as a string.
 */
public final class JsonLineWriter implements Writer {

    private static final int QUEUE_CAPACITY = 2_048;
    private static final long FLUSH_INTERVAL_MILLIS = 100;
    /** Maximum length of a write of several lines; a write of this size to a pipe is atomic. */
    private static final int MAX_WRITE_CHARS = 3_000;

    private static final JsonFactory FACTORY = new JsonFactory();
    private static final LongAdder DROPPED = new LongAdder();

    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final OutputStream out;
    private volatile boolean isClosed;

    /**
     * Creates the writer; called by tinylog through reflection.
     *
     * @param properties tinylog properties of the writer, all of which are ignored
     */
    public JsonLineWriter(Map<String, String> properties) {
        this(new FileOutputStream(FileDescriptor.out));
    }

    JsonLineWriter(OutputStream out) {
        this.out = out;
        Thread thread = new Thread(this::run, "log-lines");
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the number of lines lost so far because the queue was full or writing them failed. */
    public static long dropped() {
        return DROPPED.sum();
    }

    @Override
    public Collection<LogEntryValue> getRequiredLogEntryValues() {
        return EnumSet.of(
                LogEntryValue.DATE,
                LogEntryValue.LEVEL,
                LogEntryValue.CLASS,
                LogEntryValue.MESSAGE,
                LogEntryValue.EXCEPTION);
    }

    @Override
    public void write(LogEntry entry) throws IOException {
        if (!lines.offer(line(entry))) {
            DROPPED.increment();
        }
    }

    @Override
    public void flush() throws IOException {
        drain(new ArrayList<>());
    }

    @Override
    public void close() throws IOException {
        isClosed = true;
        flush();
    }

    private static String line(LogEntry e) throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator g = FACTORY.createGenerator(text)) {
            g.writeStartObject();
            g.writeStringField("time", e.getTimestamp().toInstant().toString());
            g.writeStringField("level", e.getLevel().name());
            g.writeStringField("class", e.getClassName());
            String message = e.getMessage() == null ? "" : e.getMessage();
            g.writeFieldName("message");
            if (message.startsWith("{") && message.endsWith("}")) {
                g.writeRawValue(message);
            } else {
                g.writeString(message);
            }
            if (e.getException() != null) {
                g.writeStringField("exception", e.getException().toString());
            }
            g.writeEndObject();
        }
        return text.append('\n').toString();
    }

    private void run() {
        List<String> batch = new ArrayList<>();
        while (!isClosed) {
            try {
                batch.add(lines.take());
                drain(batch);
                Thread.sleep(FLUSH_INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            } catch (IOException | RuntimeException | OutOfMemoryError e) {
                DROPPED.add(batch.size());
            }
            batch.clear();
        }
    }

    private synchronized void drain(List<String> batch) throws IOException {
        lines.drainTo(batch);
        StringBuilder buffer = new StringBuilder();
        for (String line : batch) {
            if (buffer.length() + line.length() > MAX_WRITE_CHARS && !buffer.isEmpty()) {
                print(buffer);
            }
            buffer.append(line);
        }
        print(buffer);
    }

    private void print(StringBuilder buffer) throws IOException {
        out.write(buffer.toString().getBytes(StandardCharsets.UTF_8));
        buffer.setLength(0);
    }
}
