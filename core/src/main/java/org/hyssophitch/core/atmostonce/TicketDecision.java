package org.hyssophitch.core.atmostonce;

/** What has to be done with a request that carries a ticket. Every decision is immutable. */
public sealed interface TicketDecision {

    /** The request may run now; the register counts it as running. */
    record Run() implements TicketDecision {}

    /**
     * Another entry host issued the ticket and is live; only that host may run the request.
     *
     * @param host name of the issuing entry host
     */
    record IssuedElsewhere(String host) implements TicketDecision {}

    /** The process that issued the ticket is gone; whether the request ran can't be known. */
    record IssuerGone() implements TicketDecision {}

    /** This process issues tickets, but not yet this one; the request was never run. */
    record NeverIssued() implements TicketDecision {}

    /** The ticket is too old for the register to know whether its request ran. */
    record Expired() implements TicketDecision {}

    /** The request runs at this moment. */
    record Running() implements TicketDecision {}

    /**
     * The request ran and was answered.
     *
     * @param status status of the backend server's answer
     */
    record AlreadyRun(int status) implements TicketDecision {}

    /** An earlier attempt ended without an answer; the request may have run. */
    record MayHaveRun() implements TicketDecision {}
}
