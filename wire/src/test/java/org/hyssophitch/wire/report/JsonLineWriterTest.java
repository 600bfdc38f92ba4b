package org.hyssophitch.wire.report;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.stream.IntStream;

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
