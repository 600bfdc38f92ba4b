package org.hyssophitch.bench.model;

import org.hyssophitch.standin.Deployment;

/**
 * Capacity and slowdown parameters of a model server. Immutable.
 *
 * @param slots number of requests that the server runs at the same time
 * @param maxQueued number of requests that may wait for a slot
 * @param isSilentWhenFull whether a request beyond the queue limit gets no answer instead of a rejection
 * @param knee fraction of slots in use above which requests slow down
 * @param contentionFactor factor on service times above the knee
 * @param slowFraction fraction of the time in which a server with speed changes is slow
 * @param slowFactor factor on service times while the server is slow
 * @param speedChangeIntervalMicros mean time in microseconds between speed changes
 * @param warmUpMicros duration of the warm-up after a start, in microseconds
 * @param warmUpFactor factor on service times during the warm-up
 */
public record ServerBehaviour(
        int slots,
        int maxQueued,
        boolean isSilentWhenFull,
        double knee,
        double contentionFactor,
        double slowFraction,
        double slowFactor,
        long speedChangeIntervalMicros,
        long warmUpMicros,
        double warmUpFactor) {

    /** Parameters of the built-in deployments; the slowdowns apply only after speed changes are started. */
    public static final ServerBehaviour DEFAULT =
            new ServerBehaviour(Deployment.SLOTS_PER_SERVER, 60, false, 0.8, 1.5, 0.25, 4, 250_000, 3_000_000, 2);
}
