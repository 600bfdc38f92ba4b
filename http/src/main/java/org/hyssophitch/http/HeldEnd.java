package org.hyssophitch.http;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpContent;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * Last piece of an answer that is held back until the server has shown whether it has ended the answer there, at most
 * for a fixed time. Not thread-safe; confined to one event loop.
 */
final class HeldEnd {

    private final HttpContent content;
    private final ScheduledFuture<?> timer;

    /** Takes ownership of the piece and holds it for a time in milliseconds. */
    HeldEnd(HttpContent content, EventLoop loop, long millis, Runnable onTimeout) {
        this.content = content;
        this.timer = loop.schedule(onTimeout, millis, TimeUnit.MILLISECONDS);
    }

    /** Returns the piece, which the receiver must release. */
    HttpContent take() {
        timer.cancel(false);
        return content;
    }

    /** Releases the piece. */
    void discard() {
        take().release();
    }
}
