package org.hyssophitch.core.atmostonce;

/** Decision of {@link TicketRegistry} on a request that carries a ticket. All implementations are immutable. */
public sealed interface TicketDecision {

    /** The request may run now; the registry has marked it as running. */
    record Run() implements TicketDecision {}

    /**
     * The ticket was issued by another entry host whose issuing process is live; only that process may run the request.
     *
     * @param host name of the issuing entry host
     */
    record IssuedElsewhere(String host) implements TicketDecision {}

    /** The process that issued the ticket is no longer live, so it is unknown whether the request ran. */
    record IssuerGone() implements TicketDecision {}

    /** The ticket names this process, which has not issued it; the request has not run. */
    record NeverIssued() implements TicketDecision {}

    /** The ticket is older than the registry's window, so it is unknown whether the request ran. */
    record Expired() implements TicketDecision {}

    /** The request is running now. */
    record Running() implements TicketDecision {}

    /**
     * The request ran and a backend server answered it.
     *
     * @param status HTTP status of the backend server's answer
     */
    record AlreadyRun(int status) implements TicketDecision {}

    /** An earlier attempt ended without an answer or with a server error; the request may have run. */
    record MayHaveRun() implements TicketDecision {}
}
