package org.hyssophitch.entry;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a host that believes answers of the store whose heads are broken, or no longer learns changes. */
public class BrokenStoreAnswerTest extends EntryProgramFixture {

    private static final int CHANGES = 6;

    @DataProvider
    Object[][] breaks() {
        return new Object[][] {
            {"HTTP/1.1 200", "HTTP/1.1 000"},
            {"HTTP/1.1 200", "HTTP/1.1 0200"},
            {"\r\n", "\r\nStore-Era x: 9\r\n"},
            {"\r\n", "\r\nNothing at all\r\n"},
            {"(?i)content-length:", "Content-Length :"},
        };
    }

    /** Every second answer has a broken head. */
    @Test(dataProvider = "breaks")
    public void hostLearnsEachChange(String sound, String broken) throws Exception {
        AtomicInteger answers = new AtomicInteger();
        StoreLink.AnswerWriter writer = (h, b) -> {
            String text = new String(b, StandardCharsets.ISO_8859_1);
            boolean isBroken = text.startsWith("HTTP/1.1 ") && answers.incrementAndGet() % 2 == 0;
            String written = isBroken ? text.replaceFirst(sound, broken) : text;
            h.write(written.getBytes(StandardCharsets.ISO_8859_1));
        };
        awaitChanges(CHANGES, writer);
    }
}
