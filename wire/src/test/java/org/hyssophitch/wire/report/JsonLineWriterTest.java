package org.hyssophitch.wire.report;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.tinylog.Level;
import org.tinylog.core.LogEntry;
import org.tinylog.runtime.RuntimeProvider;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests that the asynchronous log writer loses no lines when it is closed. */
public class JsonLineWriterTest {

    /** The writer thread sleeps after each batch; lines logged during the sleep must be written on close. */
    @Test
    public void everyLineIsWrittenWhenTheWriterCloses() throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        JsonLineWriter writer = new JsonLineWriter(out);
        writer.write(entry("first"));
        Thread.sleep(30);
        for (int i : IntStream.range(0, 100).toArray()) {
            writer.write(entry("line " + i));
        }
        writer.close();

        String text = out.toString(StandardCharsets.UTF_8);
        assertEquals(text.lines().count(), 101);
        assertTrue(text.contains("\"message\":\"line 99\""), text);
    }

    /** A failure ended the thread that writes the lines, and the log stayed empty from then on. */
    @Test(dataProvider = "failures")
    public void linesAreWrittenAfterAFailure(Throwable failure) throws Exception {
        FailingStream out = new FailingStream(failure);
        JsonLineWriter writer = new JsonLineWriter(out);
        long lostBefore = JsonLineWriter.dropped();
        writer.write(entry("lost"));
        awaitTrue(() -> JsonLineWriter.dropped() > lostBefore);
        writer.write(entry("written"));
        awaitTrue(() -> out.text().contains("written"));
        writer.close();
    }

    @DataProvider
    Object[][] failures() {
        return new Object[][] {
            {new IOException("simulated")},
            {new IllegalStateException("simulated")},
            {new OutOfMemoryError("simulated")}
        };
    }

    private static void awaitTrue(BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, "the condition was not met in time");
            Thread.sleep(10);
        }
    }

    /** Stream whose first write fails. */
    private static final class FailingStream extends OutputStream {

        private final ByteArrayOutputStream written = new ByteArrayOutputStream();
        private final Throwable failure;
        private boolean hasFailed;

        private FailingStream(Throwable failure) {
            this.failure = failure;
        }

        private synchronized String text() {
            return written.toString(StandardCharsets.UTF_8);
        }

        @Override
        public void write(int b) throws IOException {
            write(new byte[] {(byte) b}, 0, 1);
        }

        @Override
        public synchronized void write(byte[] bytes, int offset, int length) throws IOException {
            if (hasFailed) {
                written.write(bytes, offset, length);
                return;
            }
            hasFailed = true;
            switch (failure) {
                case IOException e -> throw e;
                case Error e -> throw e;
                default -> throw (RuntimeException) failure;
            }
        }
    }

    private static LogEntry entry(String message) {
        return new LogEntry(
                RuntimeProvider.createTimestamp(),
                Thread.currentThread(),
                null,
                "test",
                "test",
                "test",
                1,
                null,
                Level.INFO,
                message,
                null);
    }
}
