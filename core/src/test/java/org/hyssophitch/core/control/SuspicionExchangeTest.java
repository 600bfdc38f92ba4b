package org.hyssophitch.core.control;

import java.util.List;
import java.util.SplittableRandom;

import org.hyssophitch.core.health.Clearance;
import org.hyssophitch.core.health.SuspectTracker.Suspicion;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** What a host passes on of requests that crash servers, and of those that were found to be harmless. */
public class SuspicionExchangeTest {

    private static final String FINGERPRINT = "GET /x#0";

    private SuspicionExchange exchange;

    @BeforeMethod
    void create() {
        exchange = new SuspicionExchange(new SplittableRandom(1));
    }

    /** A suspicion that a clearance left was repeated twice, so that other hosts were sent all suspicions for ever. */
    @Test
    public void suspicionAfterAClearanceIsRepeatedOnce() {
        exchange.add(List.of(crash("a", 1), crash("b", 2), crash("c", 30)));
        assertEquals(exchange.repeatedCount(), 3);
        exchange.clear(List.of(new Clearance(FINGERPRINT, 10)), 40);
        assertEquals(exchange.repeatedCount(), 0, "one crash alone isn't repeated");
        exchange.add(List.of(crash("d", 31)));
        assertEquals(exchange.repeatedCount(), 2);
    }

    /** A host whose clock is ahead kept the others from counting the crashes that were still to come. */
    @Test
    public void clearanceOfAFutureTimeCoversNoCrashAfterItsArrival() {
        exchange.add(List.of(crash("a", 1), crash("b", 2)));
        exchange.clear(List.of(new Clearance(FINGERPRINT, Long.MAX_VALUE)), 10);
        assertEquals(exchange.add(List.of(crash("c", 11))).size(), 1);
        assertEquals(exchange.takeClearances(8), List.of(new Clearance(FINGERPRINT, 10)));
    }

    /** A host that hasn't heard of a clearance is told when it passes on what the clearance covers. */
    @Test
    public void clearedSuspicionIsAnsweredWithTheClearance() {
        exchange.add(List.of(crash("a", 1)));
        exchange.clear(List.of(new Clearance(FINGERPRINT, 10)), 10);
        while (!exchange.takeClearances(8).isEmpty()) {
            assertTrue(exchange.take(8, 10).isEmpty());
        }
        assertTrue(exchange.add(List.of(crash("a", 1))).isEmpty());
        assertTrue(exchange.clear(List.of(new Clearance(FINGERPRINT, 10)), 12).isEmpty());
        assertEquals(exchange.takeClearances(8), List.of(new Clearance(FINGERPRINT, 10)));
    }

    private static Suspicion crash(String server, long micros) {
        return new Suspicion(FINGERPRINT, server, micros, 1);
    }
}
