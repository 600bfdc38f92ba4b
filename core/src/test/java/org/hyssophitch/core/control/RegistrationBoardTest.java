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
public class RegistrationBoardTest {

    private static final long SECOND = 1_000_000;

    @Test
    public void theSameListAgainStatesNothing() {
        RegistrationBoard board = new RegistrationBoard();
        assertEquals(board.onListed(List.of(listed("b1")), SECOND).size(), 1);
        assertEquals(board.onListed(List.of(listed("b1")), 2 * SECOND), List.of());
    }

    @Test
    public void aFirstReadingDoesntOverruleWhatOthersStated() {
        RegistrationBoard board = new RegistrationBoard();
        assertTrue(board.add(new RegistrationNotice("b1", Optional.empty(), SECOND)));
        board.onListed(List.of(listed("b1")), 2 * SECOND).forEach(n -> assertFalse(board.add(n)));

        assertEquals(board.registered(3 * SECOND), List.of());
    }

    @Test
    public void aLaterStatementReplacesAnEarlierOneOnly() {
        RegistrationBoard board = new RegistrationBoard();
        assertTrue(board.add(new RegistrationNotice("b1", listed("b1").registration(), 2 * SECOND)));
        assertFalse(board.add(new RegistrationNotice("b1", Optional.empty(), SECOND)));
        assertEquals(board.registered(3 * SECOND).size(), 1);
        assertTrue(board.add(new RegistrationNotice("b1", Optional.empty(), 3 * SECOND)));
        assertEquals(board.registered(3 * SECOND), List.of());
    }

    @Test
    public void coldTimePasses() {
        RegistrationBoard board = new RegistrationBoard();
        RegisteredServer cold = listed("b1").registration().orElseThrow().withColdMillis(3_000);
        board.add(new RegistrationNotice("b1", Optional.of(cold), SECOND));

        assertEquals(board.registered(2 * SECOND).getFirst().coldMillis(), 2_000);
        assertEquals(board.registered(9 * SECOND).getFirst().coldMillis(), 0);
    }

    @Test
    public void whatIsGoneIsForgottenInTheEnd() {
        RegistrationBoard board = new RegistrationBoard();
        board.add(new RegistrationNotice("b1", Optional.empty(), SECOND));

        assertEquals(board.all(30 * SECOND).size(), 1);
        assertEquals(board.all(90 * SECOND), List.of());
    }

    private static ListedHost listed(String name) {
        BackendServer server = new BackendServer(name, "10.0.0.1", 80, "z1", 3, 0, false);
        return new ListedHost(name, "", false, Optional.of(new RegisteredServer("s1", server, 0)));
    }
}
