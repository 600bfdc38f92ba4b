package org.hyssophitch.http;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * Finds an attempt whose connection makes no progress. Not thread-safe; lives on one event loop until {@link #stop}.
 */
final class StallWatch {

    /** Watch of an attempt without a connection. */
    static final StallWatch NONE = new StallWatch(null, 0, () -> {});

    private final EventLoop loop;
    private final long stallNanos;
    private final Runnable onStall;
    private ScheduledFuture<?> timer;
    private long progressNanos = System.nanoTime();
    private boolean isPaused;

    private StallWatch(EventLoop loop, long stallNanos, Runnable onStall) {
        this.loop = loop;
        this.stallNanos = stallNanos;
        this.onStall = onStall;
    }

    /**
     * Begins to watch.
     *
     * @param stallMillis time in milliseconds without progress after which the connection counts as silent; 0 for never
     */
    static StallWatch start(EventLoop loop, int stallMillis, Runnable onStall) {
        if (stallMillis <= 0) {
            return NONE;
        }
        StallWatch watch = new StallWatch(loop, TimeUnit.MILLISECONDS.toNanos(stallMillis), onStall);
        watch.schedule(watch.stallNanos);
        return watch;
    }

    /** Notes that a byte went or came. */
    void onProgress() {
        if (loop != null) {
            progressNanos = System.nanoTime();
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
        long left = progressNanos + stallNanos - System.nanoTime();
        if (isPaused) {
            schedule(stallNanos);
        } else if (left > 0) {
            schedule(left);
        } else {
            onStall.run();
        }
    }

    private void schedule(long nanos) {
        timer = loop.schedule(this::check, nanos, TimeUnit.NANOSECONDS);
    }
}
