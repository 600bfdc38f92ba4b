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
    static final StallDetector NONE = new StallDetector(null, 0, 0, () -> {});

    private final EventLoop loop;
    private final long timeoutNanos;
    private final Runnable onStall;
    private ScheduledFuture<?> timer;
    private long lastProgressNanos;
    private boolean isPaused;

    private StallDetector(EventLoop loop, long startNanos, long timeoutNanos, Runnable onStall) {
        this.loop = loop;
        this.lastProgressNanos = startNanos;
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
        return startLater(loop, 0, timeoutMillis, onStall);
    }

    /**
     * Starts a detector that takes the connection for busy at first.
     *
     * @param delayMicros time in microseconds for which it does so
     * @param timeoutMillis time in milliseconds without progress, from then on, after which the connection counts as
     *     stalled
     */
    static StallDetector startLater(EventLoop loop, long delayMicros, int timeoutMillis, Runnable onStall) {
        long delayNanos = TimeUnit.MICROSECONDS.toNanos(delayMicros);
        long timeoutNanos = TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        StallDetector detector = new StallDetector(loop, System.nanoTime() + delayNanos, timeoutNanos, onStall);
        detector.schedule(delayNanos + timeoutNanos);
        return detector;
    }

    /** Records that bytes were sent or received. */
    void onProgress() {
        if (loop != null) {
            long now = System.nanoTime();
            lastProgressNanos = now - lastProgressNanos > 0 ? now : lastProgressNanos;
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
