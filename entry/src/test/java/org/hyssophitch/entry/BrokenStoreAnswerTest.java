package org.hyssophitch.entry;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

import org.hyssophitch.core.entry.EntrySettings;
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
        configure(1, "svc");
        register("i-1", first, "svc", "ready");
        AtomicInteger answers = new AtomicInteger();
        StoreLink.AnswerWriter writer = (h, b) -> {
            String text = new String(b, StandardCharsets.ISO_8859_1);
            boolean isBroken = text.startsWith("HTTP/1.1 ") && answers.incrementAndGet() % 2 == 0;
            String written = isBroken ? text.replaceFirst(sound, broken) : text;
            h.write(written.getBytes(StandardCharsets.ISO_8859_1));
        };
        try (StoreLink link = new StoreLink(storePort, writer)) {
            storePort = link.port();
            EntrySettings behindLink = settings("host-2");
            start(behindLink);
            await(() -> request(behindLink, "/s/x").endsWith("first"));
            for (int i = 1; i <= CHANGES; i++) {
                boolean isFirst = i % 2 == 0;
                store.remove("servers", "i-" + i);
                register("i-" + (i + 1), isFirst ? first : second, "svc", "ready");
                configure(i + 1, "svc");
                await(() -> request(behindLink, "/s/x").endsWith(isFirst ? "first" : "second"));
            }
        }
    }
}
