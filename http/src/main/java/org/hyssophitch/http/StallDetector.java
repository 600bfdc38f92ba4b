package org.hyssophitch.http;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * Finds an attempt whose connection makes no progress. Not thread-safe; lives on one event loop until {@link #stop}.
 */
final class StallDetector {

    /** Watch of an attempt without a connection. */
    static final StallDetector NONE = new StallDetector(null, 0, () -> {});

    private final EventLoop loop;
    private final long timeoutNanos;
    private final Runnable onStall;
    private ScheduledFuture<?> timer;
    private long lastProgressNanos = System.nanoTime();
    private boolean isPaused;

    private StallDetector(EventLoop loop, long timeoutNanos, Runnable onStall) {
        this.loop = loop;
        this.timeoutNanos = timeoutNanos;
        this.onStall = onStall;
    }

    /**
     * Begins to watch.
     *
     * @param timeoutMillis time in milliseconds without progress after which the connection counts as silent; 0 for never
     */
    static StallDetector start(EventLoop loop, int timeoutMillis, Runnable onStall) {
        if (timeoutMillis <= 0) {
            return NONE;
        }
        StallDetector detector = new StallDetector(loop, TimeUnit.MILLISECONDS.toNanos(timeoutMillis), onStall);
        detector.schedule(detector.timeoutNanos);
        return detector;
    }

    /** Notes that a byte went or came. */
    void onProgress() {
        if (loop != null) {
            lastProgressNanos = System.nanoTime();
        }
    }

    /** Notes whether this side has stopped reading, which is no silence of the server. */
    void setPaused(boolean value) {
        if (loop != null) {
            isPaused = value;
            onProgress();
        }
    }

    void stop() {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    private void check() {
        long remainingNanos = lastProgressNanos + timeoutNanos - System.nanoTime();
        if (isPaused) {
            schedule(timeoutNanos);
        } else if (remainingNanos > 0) {
            schedule(remainingNanos);
        } else {
            onStall.run();
        }
    }

    private void schedule(long nanos) {
        timer = loop.schedule(this::check, nanos, TimeUnit.NANOSECONDS);
    }
}
