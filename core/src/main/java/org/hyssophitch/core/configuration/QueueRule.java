package org.hyssophitch.core.configuration;

/**
 * Limits on the calls of one service that are queued in an entry host or in progress. Immutable.
 *
 * @param maxQueued maximum number of queued calls per entry host
 * @param defaultDeadlineMillis deadline in milliseconds of a call that specifies none
 * @param stallMillis time in milliseconds without any byte sent or received after which a backend connection counts as
 *     stalled; 0 for never
 */
public record QueueRule(int maxQueued, int defaultDeadlineMillis, int stallMillis) {

    /** Rule used when the configuration document defines none. */
    public static final QueueRule DEFAULT = new QueueRule(64, 2_000, 1_000);
}
