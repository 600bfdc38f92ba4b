package org.hyssophitch.entry;

import java.util.concurrent.TimeUnit;

/**
 * Measures by how much each heartbeat is late, which is the time that the event loop took for other work. Not
 * thread-safe; runs with each heartbeat on the event loop.
 */
final class HeartbeatDelay implements Runnable {

    private final EntryMetrics metrics;
    private long lastNanos;

    HeartbeatDelay(EntryMetrics metrics) {
        this.metrics = metrics;
    }

    @Override
    public void run() {
        long now = System.nanoTime();
        if (lastNanos != 0) {
            long lateNanos = now - lastNanos - TimeUnit.MILLISECONDS.toNanos(Peers.TICK_INTERVAL_MILLIS);
            metrics.onHeartbeat(TimeUnit.NANOSECONDS.toMicros(Math.max(0, lateNanos)));
        }
        lastNanos = now;
    }
}
