package org.hyssophitch.core.control;

import java.util.List;
import java.util.Optional;

import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.configuration.RegisteredServer;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests how registration notices from stale host lists and from other agents are merged. */
public class RegistrationTableTest {

    private static final long SECOND = 1_000_000;

    @Test
    public void readingTheSameListAgainReturnsNoNotices() {
        RegistrationTable table = new RegistrationTable();
        assertEquals(table.onHostList(List.of(listed("b1")), SECOND).size(), 1);
        assertEquals(table.onHostList(List.of(listed("b1")), 2 * SECOND), List.of());
    }

    @Test
    public void firstReadDoesNotOverrideNoticesOfOtherAgents() {
        RegistrationTable table = new RegistrationTable();
        assertTrue(table.add(new RegistrationNotice("b1", Optional.empty(), SECOND)));
        table.onHostList(List.of(listed("b1")), 2 * SECOND).forEach(n -> assertFalse(table.add(n)));

        assertEquals(table.registered(3 * SECOND), List.of());
    }

    @Test
    public void onlyALaterNoticeReplacesAnEarlierOne() {
        RegistrationTable table = new RegistrationTable();
        assertTrue(table.add(new RegistrationNotice("b1", listed("b1").registration(), 2 * SECOND)));
        assertFalse(table.add(new RegistrationNotice("b1", Optional.empty(), SECOND)));
        assertEquals(table.registered(3 * SECOND).size(), 1);
        assertTrue(table.add(new RegistrationNotice("b1", Optional.empty(), 3 * SECOND)));
        assertEquals(table.registered(3 * SECOND), List.of());
    }

    @Test
    public void remainingWarmUpTimeDecreases() {
        RegistrationTable table = new RegistrationTable();
        RegisteredServer warmingUp = listed("b1").registration().orElseThrow().withColdMillis(3_000);
        table.add(new RegistrationNotice("b1", Optional.of(warmingUp), SECOND));

        assertEquals(table.registered(2 * SECOND).getFirst().coldMillis(), 2_000);
        assertEquals(table.registered(9 * SECOND).getFirst().coldMillis(), 0);
    }

    @Test
    public void noticeOfRemovedRegistrationExpires() {
        RegistrationTable table = new RegistrationTable();
        table.add(new RegistrationNotice("b1", Optional.empty(), SECOND));

        assertEquals(table.all(30 * SECOND).size(), 1);
        assertEquals(table.all(90 * SECOND), List.of());
    }

    private static ListedHost listed(String name) {
        BackendServer server = new BackendServer(name, "10.0.0.1", 80, "z1", 3, 0, false);
        return new ListedHost(name, "", false, Optional.of(new RegisteredServer("s1", server, 0)));
    }
}
