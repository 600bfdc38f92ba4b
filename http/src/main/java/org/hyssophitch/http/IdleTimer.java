package org.hyssophitch.http;

import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * Idle timeout of a connection, whose length may change while it runs. Not thread-safe; confined to one event loop.
 *
 * <p>Callers may rely on the length at their last response or on the current one, so the longer one applies.
 */
final class IdleTimer {

    private final IntSupplier timeoutMillis;
    private final Runnable onTimeout;
    private ScheduledFuture<?> timer;
    private long startNanos;
    private int startTimeoutMillis;

    /**
     * Creates a timer that isn't running.
     *
     * @param timeoutMillis returns the current timeout in milliseconds
     * @param onTimeout called when the connection was idle for that time
     */
    IdleTimer(IntSupplier timeoutMillis, Runnable onTimeout) {
        this.timeoutMillis = timeoutMillis;
        this.onTimeout = onTimeout;
    }

    /** Starts the timer, or starts it again. */
    void start(EventExecutor executor) {
        stop();
        startNanos = System.nanoTime();
        startTimeoutMillis = timeoutMillis.getAsInt();
        schedule(executor, startTimeoutMillis);
    }

    void stop() {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    private void check(EventExecutor executor) {
        long totalMillis = Math.max(startTimeoutMillis, timeoutMillis.getAsInt());
        long remainingMillis = totalMillis - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        if (remainingMillis > 0) {
            schedule(executor, remainingMillis);
        } else {
            onTimeout.run();
        }
    }

    private void schedule(EventExecutor executor, long millis) {
        timer = executor.schedule(() -> check(executor), millis, TimeUnit.MILLISECONDS);
    }
}
