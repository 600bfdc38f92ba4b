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
 * Log writer that prints JSON lines on standard output. Thread-safe; writes from its creation until the process ends.
 *
 * <p>Lines wait in a bounded ring for a thread of their own, so that whoever logs never waits for the reader of the
 * output; a line that finds the ring full is dropped and counted. A message that is a JSON object stays one.
 */
public final class JsonLineWriter implements Writer {

    private static final int CAPACITY = 2_048;
    private static final long FLUSH_MILLIS = 100;
    /** Length up to which lines are written at once, which a pipe takes whole. */
    private static final int PIECE_CHARS = 3_000;

    private static final JsonFactory FACTORY = new JsonFactory();
    private static final LongAdder DROPPED = new LongAdder();

    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(CAPACITY);
    private final OutputStream out;
    private volatile boolean isClosed;

    /**
     * Creates the writer, as tinylog does.
     *
     * @param properties settings of the writer; none are used
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

    /** Returns the number of lines dropped so far because the ring was full. */
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
                Thread.sleep(FLUSH_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            } catch (IOException e) {
                DROPPED.add(batch.size());
            }
            batch.clear();
        }
    }

    private synchronized void drain(List<String> batch) throws IOException {
        lines.drainTo(batch);
        StringBuilder piece = new StringBuilder();
        for (String line : batch) {
            if (piece.length() + line.length() > PIECE_CHARS && !piece.isEmpty()) {
                print(piece);
            }
            piece.append(line);
        }
        print(piece);
    }

    private void print(StringBuilder piece) throws IOException {
        out.write(piece.toString().getBytes(StandardCharsets.UTF_8));
        piece.setLength(0);
    }
}
