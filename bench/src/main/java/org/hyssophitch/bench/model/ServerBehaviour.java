package org.hyssophitch.bench.model;

import org.hyssophitch.standin.Deployment;

/**
 * How a model server works: its room, and what makes it slow. Immutable.
 *
 * @param slots requests that it runs at the same time
 * @param maxQueued requests that wait for a slot
 * @param isSilentWhenFull whether a request beyond that gets no answer at all, instead of a refusal
 * @param knee part of the slots above which work takes longer
 * @param contentionFactor how many times longer it takes then
 * @param slowFraction part of the time in which a changing server is slow
 * @param slowFactor how many times longer work takes then
 * @param speedChangeIntervalMicros mean time in microseconds between two changes of speed
 * @param warmUpMicros time in microseconds after a start in which work takes longer
 * @param warmUpFactor how many times longer it takes then
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

    /** Behaviour of the servers of our own deployments; the slow times count only once the server changes its speed. */
    public static final ServerBehaviour DEFAULT =
            new ServerBehaviour(Deployment.SLOTS, 60, false, 0.8, 1.5, 0.25, 4, 250_000, 3_000_000, 2);
}
