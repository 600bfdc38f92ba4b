package org.hyssophitch.core.control;

import java.util.List;
import java.util.Optional;

import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.configuration.RegisteredServer;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Statements on servers that register themselves, from lists that may lag. */
public class RegistrationTableTest {

    private static final long SECOND = 1_000_000;

    @Test
    public void theSameListAgainStatesNothing() {
        RegistrationTable board = new RegistrationTable();
        assertEquals(board.onListed(List.of(listed("b1")), SECOND).size(), 1);
        assertEquals(board.onListed(List.of(listed("b1")), 2 * SECOND), List.of());
    }

    @Test
    public void aFirstReadingDoesntOverruleWhatOthersStated() {
        RegistrationTable board = new RegistrationTable();
        assertTrue(board.add(new RegistrationNotice("b1", Optional.empty(), SECOND)));
        board.onListed(List.of(listed("b1")), 2 * SECOND).forEach(n -> assertFalse(board.add(n)));

        assertEquals(board.registered(3 * SECOND), List.of());
    }

    @Test
    public void aLaterStatementReplacesAnEarlierOneOnly() {
        RegistrationTable board = new RegistrationTable();
        assertTrue(board.add(new RegistrationNotice("b1", listed("b1").registration(), 2 * SECOND)));
        assertFalse(board.add(new RegistrationNotice("b1", Optional.empty(), SECOND)));
        assertEquals(board.registered(3 * SECOND).size(), 1);
        assertTrue(board.add(new RegistrationNotice("b1", Optional.empty(), 3 * SECOND)));
        assertEquals(board.registered(3 * SECOND), List.of());
    }

    @Test
    public void coldTimePasses() {
        RegistrationTable board = new RegistrationTable();
        RegisteredServer cold = listed("b1").registration().orElseThrow().withColdMillis(3_000);
        board.add(new RegistrationNotice("b1", Optional.of(cold), SECOND));

        assertEquals(board.registered(2 * SECOND).getFirst().coldMillis(), 2_000);
        assertEquals(board.registered(9 * SECOND).getFirst().coldMillis(), 0);
    }

    @Test
    public void whatIsGoneIsForgottenInTheEnd() {
        RegistrationTable board = new RegistrationTable();
        board.add(new RegistrationNotice("b1", Optional.empty(), SECOND));

        assertEquals(board.all(30 * SECOND).size(), 1);
        assertEquals(board.all(90 * SECOND), List.of());
    }

    private static ListedHost listed(String name) {
        BackendServer server = new BackendServer(name, "10.0.0.1", 80, "z1", 3, 0, false);
        return new ListedHost(name, "", false, Optional.of(new RegisteredServer("s1", server, 0)));
    }
}
