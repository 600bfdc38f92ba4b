package org.hyssophitch.bench.model;

import org.hyssophitch.standin.Deployment;

/**
 * How a model server works: its room, and what makes it slow. Immutable.
 *
 * @param slots requests that it runs at the same time
 * @param maxQueued requests that wait for a slot
 * @param isSilentWhenFull whether a request beyond that gets no answer at all, instead of a refusal
 * @param knee part of the slots above which work takes longer
 * @param crowdedFactor how many times longer it takes then
 * @param slowPart part of the time in which a changing server is slow
 * @param slowFactor how many times longer work takes then
 * @param speedMicros mean time in microseconds between two changes of speed
 * @param coldMicros time in microseconds after a start in which work takes longer
 * @param coldFactor how many times longer it takes then
 */
public record ServerBehaviour(
        int slots,
        int maxQueued,
        boolean isSilentWhenFull,
        double knee,
        double crowdedFactor,
        double slowPart,
        double slowFactor,
        long speedMicros,
        long coldMicros,
        double coldFactor) {

    /** Behaviour of the servers of our own deployments; the slow times count only once the server changes its speed. */
    public static final ServerBehaviour DEFAULT =
            new ServerBehaviour(Deployment.SLOTS_PER_SERVER, 60, false, 0.8, 1.5, 0.25, 4, 250_000, 3_000_000, 2);
}
