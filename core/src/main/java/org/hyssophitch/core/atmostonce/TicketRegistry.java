package org.hyssophitch.core.atmostonce;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Issues tickets and tracks the execution of the requests that carry them. Not thread-safe; confined to the call
 * engine.
 *
 * <p>The state is kept in memory only, so tickets of an earlier incarnation are never run. Executions are kept for a
 * sliding window of the latest sequence numbers; a ticket below the window is refused without running its request.
 */
public final class TicketRegistry {

    /** Default size of the window: the number of latest tickets that can still be used. */
    public static final int DEFAULT_WINDOW = 200_000;

    private enum State {
        RUNNING,
        RUN,
        MAY_HAVE_RUN
    }

    private record Execution(State state, int status) {}

    private final String host;
    private final long incarnation;
    private final int window;
    private final Map<Long, Execution> executions = new LinkedHashMap<>();
    private long lastSequence;

    /**
     * Creates an empty registry with the default window.
     *
     * @param host name of this entry host
     * @param incarnation incarnation number of this process, larger than that of every earlier process on this host
     */
    public TicketRegistry(String host, long incarnation) {
        this(host, incarnation, DEFAULT_WINDOW);
    }

    /**
     * Creates an empty registry with the given window.
     *
     * @param host name of this entry host
     * @param incarnation incarnation number of this process, larger than that of every earlier process on this host
     * @param window number of latest tickets that can still be used
     */
    public TicketRegistry(String host, long incarnation, int window) {
        this.host = host;
        this.incarnation = incarnation;
        this.window = window;
    }

    /** Issues a new ticket and discards the execution of the ticket that leaves the window. */
    public Ticket issue() {
        lastSequence++;
        executions.remove(lastSequence - window);
        return new Ticket(host, incarnation, lastSequence);
    }

    /** Decides on a request that carries a ticket, and marks it as running if it may run. */
    public TicketDecision admit(Ticket ticket, IssuerView issuers) {
        if (!ticket.host().equals(host) || ticket.incarnation() != incarnation) {
            return decideForOtherIssuer(ticket, issuers);
        }
        if (ticket.sequence() > lastSequence || ticket.sequence() < 1) {
            return new TicketDecision.NeverIssued();
        }
        if (ticket.sequence() <= lastSequence - window) {
            return new TicketDecision.Expired();
        }
        Execution execution = executions.get(ticket.sequence());
        if (execution == null) {
            executions.put(ticket.sequence(), new Execution(State.RUNNING, 0));
            return new TicketDecision.Run();
        }
        return switch (execution.state()) {
            case RUNNING -> new TicketDecision.Running();
            case RUN -> new TicketDecision.AlreadyRun(execution.status());
            case MAY_HAVE_RUN -> new TicketDecision.MayHaveRun();
        };
    }

    /** Records that the request has certainly not run, so that the ticket can be used again. */
    public void onNotRun(Ticket ticket) {
        executions.remove(ticket.sequence());
    }

    /** Records that a backend server answered the request with the given HTTP status. */
    public void onRun(Ticket ticket, int status) {
        executions.replace(ticket.sequence(), new Execution(State.RUN, status));
    }

    /** Records that the request may have run: it got no answer, or a server error. */
    public void onMayHaveRun(Ticket ticket) {
        executions.replace(ticket.sequence(), new Execution(State.MAY_HAVE_RUN, 0));
    }

    private TicketDecision decideForOtherIssuer(Ticket ticket, IssuerView issuers) {
        boolean isIssuerLive =
                !ticket.host().equals(host) && issuers.liveIncarnation(ticket.host()) == ticket.incarnation();
        return isIssuerLive ? new TicketDecision.IssuedElsewhere(ticket.host()) : new TicketDecision.IssuerGone();
    }
}
