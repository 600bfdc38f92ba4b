package org.hyssophitch.entry.soak;

import java.util.Random;
import java.util.SplittableRandom;

/** Sources of random numbers that follow from the seed of a soak. */
final class Seeds {

    private Seeds() {}

    /**
     * Returns a source of its own for one part of a soak. Near seeds are spread first, because {@link Random} begins
     * alike for them.
     */
    static Random random(long seed, String part) {
        return new Random(new SplittableRandom(seed * 31 + part.hashCode()).nextLong());
    }
}
