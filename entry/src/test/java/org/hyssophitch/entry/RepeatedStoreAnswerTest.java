package org.hyssophitch.entry;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicInteger;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a host that knows a wrong state, or no longer learns changes, since the store gives answers twice. */
public class RepeatedStoreAnswerTest extends EntryProgramFixture {

    /** How an answer of the store is given again. */
    private enum Form {
        /** Whole, and again at once. */
        AT_ONCE,
        /** Whole, and again while the next request is in flight. */
        LATE,
        /** Broken off in the body, and again at once. */
        BROKEN_OFF
    }

    private static final int CHANGES = 12;
    private static final int LATE_MILLIS = 15;

    @DataProvider
    Object[][] forms() {
        return Arrays.stream(Form.values()).map(f -> new Object[] {f}).toArray(Object[][]::new);
    }

    /** Every second answer is given twice. */
    @Test(dataProvider = "forms")
    public void hostLearnsEachChangeOfAStoreThatAnswersTwice(Form form) throws Exception {
        AtomicInteger answers = new AtomicInteger();
        StoreLink.AnswerWriter writer = (h, b) -> {
            if (answers.incrementAndGet() % 2 == 0) {
                writeTwice(form, h, b);
            } else {
                h.write(b);
            }
        };
        awaitChanges(CHANGES, writer);
    }

    private static void writeTwice(Form form, OutputStream host, byte[] answer)
            throws IOException, InterruptedException {
        int headEnd = new String(answer, StandardCharsets.ISO_8859_1).indexOf("\r\n\r\n") + 4;
        int firstBytes = form == Form.BROKEN_OFF ? (headEnd + answer.length) / 2 : answer.length;
        byte[] both = Arrays.copyOf(answer, firstBytes + answer.length);
        System.arraycopy(answer, 0, both, firstBytes, answer.length);
        if (form == Form.LATE) {
            host.write(answer);
            Thread.sleep(LATE_MILLIS);
            host.write(answer);
        } else {
            host.write(both);
        }
    }
}
