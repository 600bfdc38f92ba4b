package org.hyssophitch.wire.concurrent;

import java.util.concurrent.TimeUnit;

/** Sleeps without throwing {@link InterruptedException}. Stateless. */
public final class Pause {

    private Pause() {}

    /** Sleeps; an interrupt ends the sleep early and leaves the thread's interrupt flag set. */
    public static void millis(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
