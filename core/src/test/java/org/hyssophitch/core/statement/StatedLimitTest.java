package org.hyssophitch.core.statement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.hyssophitch.core.statement.ServerStatement.Leaving;
import org.hyssophitch.core.statement.ServerStatement.RateLimit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests when a stated limit begins and ends for one entry host, and what the host makes of news of others. */
public class StatedLimitTest {

    private static final long SECOND = 1_000_000;
    private static final RateLimit LIMIT = new RateLimit(2);
    private static final KnownHosts ALONE = KnownHosts.ofSelf("h", "z", 1);

    private ServerConditions conditions;
    private long now;

    @BeforeMethod
    public void setUp() {
        conditions = new ServerConditions("s");
        now = 100 * SECOND;
    }

    @Test
    public void hostSendsNoMoreThanItsShareOfTheLimit() {
        hear(LIMIT);
        int sent = 0;
        for (int i = 0; i < 1_000; i++) {
            now += SECOND / 100;
            if (conditions.accepts(now)) {
                conditions.onAttempt(now);
                sent++;
            }
        }
        assertTrue(sent >= 16 && sent <= 20, "" + sent);
    }

    /** What a host sent just before it heard of the limit counts at the server, so it counts here. */
    @Test
    public void requestsBeforeTheStatementAreRepaid() {
        for (int i = 0; i < 12; i++) {
            conditions.onAttempt(now);
        }
        hear(LIMIT);
        now += 4 * SECOND;
        assertFalse(conditions.accepts(now));
        now += 3 * SECOND;
        assertTrue(conditions.accepts(now));
    }

    @Test
    public void limitEndsAfterTwoSuccessesWithoutIt() {
        hear(LIMIT);
        now += SECOND;
        hearNothing(true, now);
        assertTrue(isLimited());
        hearNothing(true, now);
        assertFalse(isLimited());
        assertTrue(conditions.accepts(now));
    }

    /** An answer to a request that was sent before the limit was heard says nothing about it. */
    @Test
    public void earlierRequestsAndErrorsDoNotEndTheLimit() {
        hear(LIMIT);
        now += SECOND;
        for (int i = 0; i < 5; i++) {
            hearNothing(true, now - 2 * SECOND);
            hearNothing(false, now);
        }
        assertTrue(isLimited());
    }

    @Test
    public void newsOfOtherHostsBeginAndEndALimit() {
        assertTrue(conditions.onNews(new LimitNews("s", Optional.of(LIMIT), now), ALONE, now));
        assertFalse(conditions.accepts(now));
        assertTrue(conditions.onNews(new LimitNews("s", Optional.empty(), now + 1), ALONE, now + 1));
        assertTrue(conditions.accepts(now));
    }

    @Test
    public void olderNewsAreIgnored() {
        hear(LIMIT);
        assertFalse(conditions.onNews(new LimitNews("s", Optional.empty(), now - SECOND), ALONE, now));
        assertTrue(isLimited());
    }

    /** A host without a share of its own must learn of the end of a limit also if nobody tells it. */
    @Test
    public void hostWithoutAShareTriesAfterALongSilence() {
        KnownHosts hosts = hostsWithoutShareForSelf();
        conditions.onAnswer(List.of(LIMIT), true, now, hosts, now);
        assertFalse(conditions.hasShare());
        now += 21 * SECOND;
        conditions.onTime(hosts, now);
        assertFalse(conditions.accepts(now));
        now += 1_200 * SECOND;
        assertTrue(conditions.accepts(now));
        conditions.onAttempt(now);
        assertFalse(conditions.accepts(now));
    }

    /** News that repeat or hardly change must not fill the datagrams. */
    @Test
    public void newsAreSharedAtOnceOnlyWhenTheyMatter() {
        hear(LIMIT);
        assertTrue(conditions.hasUrgentNews());
        assertTrue(conditions.takeNews(now).isPresent());
        for (int i = 0; i < 100; i++) {
            now += SECOND / 100;
            hear(new RateLimit(2 + i % 2 * 0.1));
            assertTrue(conditions.takeNews(now).isEmpty());
        }
        now += 5 * SECOND;
        assertFalse(conditions.hasUrgentNews());
        assertTrue(conditions.takeNews(now).isPresent());
    }

    /** A server whose registration comes back, because the store was away, is still the process that is leaving. */
    @Test
    public void statementsOutliveTheRegistration() {
        ConditionTable table = new ConditionTable();
        table.of("i@1").onAnswer(List.of(new Leaving()), true, now, ALONE, now);
        table.retain(Set.of(), now + SECOND);
        assertTrue(table.of("i@1").isLeaving());
        assertFalse(table.of("i@2").isLeaving());
        table.retain(Set.of(), now + 3_600 * SECOND);
        assertFalse(table.of("i@1").isLeaving());
    }

    private KnownHosts hostsWithoutShareForSelf() {
        Map<String, String> zones = new HashMap<>();
        for (int i = 0; i < 100; i++) {
            zones.put("h" + i, "z");
        }
        return zones.keySet().stream()
                .map(h -> new KnownHosts(h, zones, 13))
                .filter(k -> LimitShare.of(LIMIT.perSecond(), "s", "", k).equals(LimitShare.NONE))
                .findFirst()
                .orElseThrow();
    }

    private void hear(RateLimit stated) {
        conditions.onAnswer(List.of(stated), true, now, ALONE, now);
    }

    private void hearNothing(boolean isSuccess, long sentMicros) {
        conditions.onAnswer(List.of(), isSuccess, sentMicros, ALONE, now);
    }

    private boolean isLimited() {
        return conditions.limit().current().isPresent();
    }
}
