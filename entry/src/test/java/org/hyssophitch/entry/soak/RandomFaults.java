package org.hyssophitch.entry.soak;

import java.util.Random;

/** Spoils a share of a server's requests. Thread-safe. */
final class RandomFaults implements ServerBehaviour {

    private final Random random;
    private Fault fault = Fault.NONE;
    private double share;

    RandomFaults(Random random) {
        this.random = random;
    }

    /** Sets the fault of a share of the next requests. */
    synchronized void set(Fault value, double newShare) {
        fault = value;
        share = newShare;
    }

    @Override
    public synchronized Fault next() {
        return random.nextDouble() < share ? fault : Fault.NONE;
    }
}
