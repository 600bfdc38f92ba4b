package org.hyssophitch.core.atmostonce;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** A request with a ticket runs only in the process that issued the ticket, and at most once. */
public class TicketRegistryTest {

    private static final long INCARNATION = 100;
    private static final IssuerView OTHER_IS_LIVE = host -> host.equals("other") ? 7 : IssuerView.GONE;

    @DataProvider
    public Object[][] ticketsNotIssuedHere() {
        return new Object[][] {
            {new Ticket("self", INCARNATION - 1, 1), new TicketDecision.IssuerGone()},
            {new Ticket("self", INCARNATION + 1, 1), new TicketDecision.IssuerGone()},
            {new Ticket("other", 7, 1), new TicketDecision.IssuedElsewhere("other")},
            {new Ticket("other", 6, 1), new TicketDecision.IssuerGone()},
            {new Ticket("unknown-host", 7, 1), new TicketDecision.IssuerGone()},
            {new Ticket("self", INCARNATION, 99), new TicketDecision.NeverIssued()},
            {new Ticket("self", INCARNATION, 0), new TicketDecision.NeverIssued()},
            {new Ticket("self", INCARNATION, -5), new TicketDecision.NeverIssued()},
        };
    }

    @Test(dataProvider = "ticketsNotIssuedHere")
    public void ticketNotIssuedByThisProcessIsRefused(Ticket t, TicketDecision expected) {
        TicketRegistry registry = new TicketRegistry("self", INCARNATION);
        registry.issue();

        assertEquals(registry.admit(t, OTHER_IS_LIVE), expected);
    }

    @Test
    public void ticketRunsAgainOnlyIfItHasNotRun() {
        TicketRegistry registry = new TicketRegistry("self", INCARNATION);
        Ticket t = registry.issue();

        assertEquals(registry.admit(t, OTHER_IS_LIVE), new TicketDecision.Run());
        assertEquals(registry.admit(t, OTHER_IS_LIVE), new TicketDecision.Running());
        registry.onNotRun(t);
        assertEquals(registry.admit(t, OTHER_IS_LIVE), new TicketDecision.Run());
        registry.onMayHaveRun(t);
        assertEquals(registry.admit(t, OTHER_IS_LIVE), new TicketDecision.MayHaveRun());
        registry.onRun(t, 201);
        assertEquals(registry.admit(t, OTHER_IS_LIVE), new TicketDecision.AlreadyRun(201));
    }

    /** A ticket below the window is refused, even if unused: the registry no longer knows whether it was used. */
    @Test
    public void ticketBelowTheWindowIsExpired() {
        TicketRegistry registry = new TicketRegistry("self", INCARNATION, 3);
        Ticket first = registry.issue();
        assertEquals(registry.admit(first, OTHER_IS_LIVE), new TicketDecision.Run());
        for (int i = 0; i < 3; i++) {
            registry.issue();
        }

        assertEquals(registry.admit(first, OTHER_IS_LIVE), new TicketDecision.Expired());
    }

    @DataProvider
    public Object[][] malformedTexts() {
        return new Object[][] {{""}, {"t~"}, {"t~a~b"}, {"t~~1~1"}, {"x~a~1~1"}, {"t~a~1~!"}, {"t~a~1~1~1"}};
    }

    @Test(dataProvider = "malformedTexts")
    public void malformedTextIsNotParsed(String text) {
        assertTrue(Ticket.parse(text).isEmpty());
    }

    @Test
    public void formattedTicketIsParsedBack() {
        Ticket t = new Ticket("entry-01", 1_796_000_000_000_000L, 42);

        assertEquals(Ticket.parse(t.format()).orElseThrow(), t);
    }
}
