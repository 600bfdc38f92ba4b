package org.hyssophitch.core.atmostonce;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Register of the tickets that this process issued. Not thread-safe; owned by the call engine.
 *
 * <p>The register lives and dies with its process: a ticket of an earlier incarnation is never run. Entries of used
 * tickets are kept in a window of sequence numbers; a ticket below the window is refused without being run.
 */
public final class TicketRegistry {

    /** Number of the latest tickets that can still be used. */
    public static final int WINDOW = 200_000;

    private enum Kind {
        RUNNING,
        RUN,
        MAY_HAVE_RUN
    }

    private record Use(Kind kind, int status) {}

    private final String host;
    private final long incarnation;
    private final int window;
    private final Map<Long, Use> uses = new LinkedHashMap<>();
    private long lastSequence;

    /**
     * Creates the register of a new incarnation.
     *
     * @param host name of this entry host
     * @param incarnation incarnation of this process; larger than that of every process before it on this host
     */
    public TicketRegistry(String host, long incarnation) {
        this(host, incarnation, WINDOW);
    }

    /**
     * Creates the register of a new incarnation with a given window.
     *
     * @param host name of this entry host
     * @param incarnation incarnation of this process
     * @param window number of the latest tickets that can still be used
     */
    public TicketRegistry(String host, long incarnation, int window) {
        this.host = host;
        this.incarnation = incarnation;
        this.window = window;
    }

    /** Issues a new ticket. */
    public Ticket issue() {
        lastSequence++;
        uses.remove(lastSequence - window);
        return new Ticket(host, incarnation, lastSequence);
    }

    /** Decides on a request that carries a ticket; counts it as running when it may run. */
    public TicketDecision admit(Ticket t, IssuerView issuers) {
        if (!t.host().equals(host) || t.incarnation() != incarnation) {
            return decideForeign(t, issuers);
        }
        if (t.sequence() > lastSequence || t.sequence() < 1) {
            return new TicketDecision.NeverIssued();
        }
        if (t.sequence() <= lastSequence - window) {
            return new TicketDecision.Expired();
        }
        Use use = uses.get(t.sequence());
        if (use == null) {
            uses.put(t.sequence(), new Use(Kind.RUNNING, 0));
            return new TicketDecision.Run();
        }
        return switch (use.kind()) {
            case RUNNING -> new TicketDecision.Running();
            case RUN -> new TicketDecision.AlreadyRun(use.status());
            case MAY_HAVE_RUN -> new TicketDecision.MayHaveRun();
        };
    }

    /** Notes that the request was proved not run; the ticket can be used again. */
    public void onNotRun(Ticket t) {
        uses.remove(t.sequence());
    }

    /** Notes that the request was answered by a backend server. */
    public void onRun(Ticket t, int status) {
        uses.replace(t.sequence(), new Use(Kind.RUN, status));
    }

    /** Notes that the request may have run. */
    public void onMayHaveRun(Ticket t) {
        uses.replace(t.sequence(), new Use(Kind.MAY_HAVE_RUN, 0));
    }

    private TicketDecision decideForeign(Ticket t, IssuerView issuers) {
        boolean isLive = !t.host().equals(host) && issuers.liveIncarnation(t.host()) == t.incarnation();
        return isLive ? new TicketDecision.IssuedElsewhere(t.host()) : new TicketDecision.IssuerGone();
    }
}
