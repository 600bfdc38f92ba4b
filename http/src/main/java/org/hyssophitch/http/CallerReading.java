package org.hyssophitch.http;

import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.util.concurrent.ScheduledFuture;
import org.hyssophitch.wire.net.ClosedPeers;

/**
 * Decides whether a caller's connection is read, and notices that the caller has left while it isn't: its close waits
 * behind the bytes that aren't read. Not thread-safe; confined to one event loop.
 */
final class CallerReading {

    /** Maximum number of requests of one connection that are processed concurrently. */
    private static final int MAX_PIPELINED_REQUESTS = 16;

    private static final long CHECK_INTERVAL_MILLIS = 100;

    private final Channel channel;
    private final Runnable onLeft;
    private CallerExchange pausedBody;
    private ScheduledFuture<?> check;

    /**
     * Creates the control of a connection that is read.
     *
     * @param onLeft called when the caller has closed the connection while it isn't read
     */
    CallerReading(Channel channel, Runnable onLeft) {
        this.channel = channel;
        this.onLeft = onLeft;
    }

    /** Records that the rest of a request's body isn't to be received for now. */
    void pauseBody(CallerExchange exchange) {
        pausedBody = exchange;
    }

    void resumeBody(CallerExchange exchange) {
        pausedBody = pausedBody == exchange ? null : pausedBody;
    }

    /**
     * Stops or resumes reading.
     *
     * @param receiving request whose body is being received; null if there is none
     * @param requests number of requests without a wholly written response
     */
    void update(CallerExchange receiving, int requests) {
        boolean isBodyPaused = pausedBody != null && pausedBody == receiving;
        if (isBodyPaused || requests >= MAX_PIPELINED_REQUESTS) {
            channel.config().setAutoRead(false);
            startChecks();
        } else {
            resume();
        }
    }

    /** Reads on whatever is paused. */
    void resume() {
        stop();
        channel.config().setAutoRead(true);
    }

    /** Ends the checks. */
    void stop() {
        if (check != null) {
            check.cancel(false);
            check = null;
        }
    }

    private void startChecks() {
        if (check == null) {
            check = channel.eventLoop()
                    .scheduleWithFixedDelay(
                            this::checkPeer, CHECK_INTERVAL_MILLIS, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void checkPeer() {
        if (ClosedPeers.isClosedByPeer(channel)) {
            stop();
            onLeft.run();
        }
    }
}
