package org.hyssophitch.wire.concurrent;

import java.util.concurrent.TimeUnit;

/** Waiting of the shells. Stateless. */
public final class Pause {

    private Pause() {}

    /** Waits; an interrupt ends the wait early and stays visible to the thread. */
    public static void millis(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
