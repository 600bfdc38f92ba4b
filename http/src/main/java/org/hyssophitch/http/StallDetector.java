package org.hyssophitch.http;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * Detects an attempt whose connection makes no progress. Not thread-safe; confined to one event loop, and active until
 * {@link #stop}.
 */
final class StallDetector {

    /** Detector that never fires, for an attempt without a connection or a timeout. */
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
     * Starts a detector.
     *
     * @param timeoutMillis time in milliseconds without progress after which the connection counts as stalled; 0
     *     disables the detector
     */
    static StallDetector start(EventLoop loop, int timeoutMillis, Runnable onStall) {
        if (timeoutMillis <= 0) {
            return NONE;
        }
        StallDetector detector = new StallDetector(loop, TimeUnit.MILLISECONDS.toNanos(timeoutMillis), onStall);
        detector.schedule(detector.timeoutNanos);
        return detector;
    }

    /** Records that bytes were sent or received. */
    void onProgress() {
        if (loop != null) {
            lastProgressNanos = System.nanoTime();
        }
    }

    /** Sets whether this side has paused reading, which doesn't count as a stall of the server. */
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
