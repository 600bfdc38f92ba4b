package org.hyssophitch.core.configuration;

/**
 * Bounds on the calls of one service that wait in an entry host for a backend server. Immutable.
 *
 * @param maxQueued largest number of waiting calls per entry host
 * @param defaultDeadlineMillis deadline of a call that names none
 * @param stallMillis time without any byte of progress after which a connection counts as silent
 */
public record QueueRule(int maxQueued, int defaultDeadlineMillis, int stallMillis) {

    /** Rule used when the document names none. */
    public static final QueueRule DEFAULT = new QueueRule(64, 2_000, 1_000);
}
