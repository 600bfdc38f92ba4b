package org.hyssophitch.core.atmostonce;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** A ticket runs in its issuer only, and at most once. */
public class TicketRegistryTest {

    private static final long INCARNATION = 100;
    private static final IssuerView OTHER_IS_LIVE = host -> host.equals("other") ? 7 : IssuerView.GONE;

    @DataProvider
    public Object[][] foreignTickets() {
        return new Object[][] {
            {new Ticket("self", INCARNATION - 1, 1), new TicketDecision.IssuerGone()},
            {new Ticket("self", INCARNATION + 1, 1), new TicketDecision.IssuerGone()},
            {new Ticket("other", 7, 1), new TicketDecision.IssuedElsewhere("other")},
            {new Ticket("other", 6, 1), new TicketDecision.IssuerGone()},
            {new Ticket("unheard-of", 7, 1), new TicketDecision.IssuerGone()},
            {new Ticket("self", INCARNATION, 99), new TicketDecision.NeverIssued()},
            {new Ticket("self", INCARNATION, 0), new TicketDecision.NeverIssued()},
            {new Ticket("self", INCARNATION, -5), new TicketDecision.NeverIssued()},
        };
    }

    @Test(dataProvider = "foreignTickets")
    public void foreignTicketIsNeverRun(Ticket t, TicketDecision expected) {
        TicketRegistry register = new TicketRegistry("self", INCARNATION);
        register.issue();

        assertEquals(register.admit(t, OTHER_IS_LIVE), expected);
    }

    @Test
    public void ticketRunsAgainOnlyAfterItWasProvedNotRun() {
        TicketRegistry register = new TicketRegistry("self", INCARNATION);
        Ticket t = register.issue();

        assertEquals(register.admit(t, OTHER_IS_LIVE), new TicketDecision.Run());
        assertEquals(register.admit(t, OTHER_IS_LIVE), new TicketDecision.Running());
        register.onNotRun(t);
        assertEquals(register.admit(t, OTHER_IS_LIVE), new TicketDecision.Run());
        register.onMayHaveRun(t);
        assertEquals(register.admit(t, OTHER_IS_LIVE), new TicketDecision.MayHaveRun());
        register.onRun(t, 201);
        assertEquals(register.admit(t, OTHER_IS_LIVE), new TicketDecision.AlreadyRun(201));
    }

    /** A ticket that has left the window is refused, also when it was never used: the register can't know any more. */
    @Test
    public void ticketBelowTheWindowIsNeverRun() {
        TicketRegistry register = new TicketRegistry("self", INCARNATION, 3);
        Ticket first = register.issue();
        assertEquals(register.admit(first, OTHER_IS_LIVE), new TicketDecision.Run());
        for (int i = 0; i < 3; i++) {
            register.issue();
        }

        assertEquals(register.admit(first, OTHER_IS_LIVE), new TicketDecision.Expired());
    }

    @DataProvider
    public Object[][] texts() {
        return new Object[][] {{""}, {"t~"}, {"t~a~b"}, {"t~~1~1"}, {"x~a~1~1"}, {"t~a~1~!"}, {"t~a~1~1~1"}};
    }

    @Test(dataProvider = "texts")
    public void otherTextIsNoTicket(String text) {
        assertTrue(Ticket.parse(text).isEmpty());
    }

    @Test
    public void writtenTicketReadsBackTheSame() {
        Ticket t = new Ticket("entry-01", 1_796_000_000_000_000L, 42);

        assertEquals(Ticket.parse(t.format()).orElseThrow(), t);
    }
}
