package org.hyssophitch.entry;

import java.util.List;
import java.util.stream.IntStream;

import org.hyssophitch.core.entry.EntrySettings;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** An entry host that alone was cut off from the store must not use servers that left meanwhile. */
public class StoreCutTest extends EntryProgramFixture {

    /** Time in milliseconds from the first answer of the store in which a host applies what it has missed. */
    private static final long CATCH_UP_MILLIS = 1_000;

    private static final int REQUESTS = 30;

    @Test
    public void hostThatWasCutOffFromTheStoreUsesAServerThatLeftMeanwhile() throws Exception {
        configure(1, "svc");
        register("i-1", first, "svc", "ready");
        register("i-2", second, "svc", "ready");
        start(settings);
        try (StoreLink link = new StoreLink(storePort)) {
            storePort = link.port();
            EntrySettings cutOff = settings("host-2");
            start(cutOff);
            await(() -> directory(cutOff).contains(settings.addresses().front()));
            link.cut();
            store.remove("servers", "i-1");
            Thread.sleep(CATCH_UP_MILLIS);
            long healedNanos = System.nanoTime();
            link.heal();
            await(() -> link.lastAnswerNanos() > healedNanos);
            Thread.sleep(CATCH_UP_MILLIS);
            List<String> fromFirst = IntStream.range(0, REQUESTS)
                    .mapToObj(i -> request(cutOff, "/s/x"))
                    .filter(r -> r.endsWith("first"))
                    .toList();
            assertEquals(fromFirst, List.of(), "answers of the server that has left");
        }
    }
}
