package org.hyssophitch.core.health;

import java.util.HashSet;
import java.util.Set;

/**
 * Finds out whether this entry host is cut off from all backend servers, by the load probes and attempts that get no
 * answer. Not thread-safe; confined to the call engine.
 *
 * <p>A host whose servers have failed still gets answers from others, of the same or another service. So the host
 * counts as cut off when several servers in a row gave no answer, none answered in between, and none answers while
 * further ones are probed. Any answer ends this at once.
 */
public final class ServerReachability {

    /** Servers without an answer from which the host comes under suspicion, if it knows that many. */
    private static final int SUSPICIOUS_SERVERS = 3;
    /** Time in microseconds that further servers have to answer before a suspected host counts as cut off. */
    private static final long CONFIRMATION_MICROS = 60_000;

    private static final long NEVER = Long.MAX_VALUE;

    private final Set<String> unanswered = new HashSet<>();
    private long cutOffFromMicros = NEVER;

    /** Records that a server answered. */
    public void onAnswered() {
        unanswered.clear();
        cutOffFromMicros = NEVER;
    }

    /**
     * Records that a server gave no answer.
     *
     * @param server name of the server
     * @param knownServers number of servers that this host knows
     * @param nowMicros current time in microseconds
     */
    public void onUnanswered(String server, int knownServers, long nowMicros) {
        unanswered.add(server);
        if (cutOffFromMicros == NEVER && unanswered.size() >= Math.min(SUSPICIOUS_SERVERS, knownServers)) {
            cutOffFromMicros = nowMicros + CONFIRMATION_MICROS;
        }
    }

    /** Returns whether several servers gave no answer since the last answer. */
    public boolean hasLostSeveralServers() {
        return unanswered.size() >= SUSPICIOUS_SERVERS;
    }

    /** Returns whether the host may be cut off, so that further servers should be probed. */
    public boolean isSuspected() {
        return cutOffFromMicros != NEVER;
    }

    /** Returns whether the host is cut off. */
    public boolean isCutOff(long nowMicros) {
        return nowMicros >= cutOffFromMicros;
    }

    /** Returns the time in microseconds from which a suspected host counts as cut off. */
    public long cutOffFromMicros() {
        return cutOffFromMicros;
    }

    /** Returns the number of servers that gave no answer since the last answer. */
    public int unanswered() {
        return unanswered.size();
    }
}
