package org.hyssophitch.http;

import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import org.tinylog.Logger;

/**
 * One connection to a backend server, which carries one request at a time. Lives on one event loop from the moment it
 * is opened until it is closed.
 *
 * <p>Bytes that belong to no request never reach anyone: an answer of another request is discarded and the connection
 * is closed after the answer in progress; bytes on an idle connection close it at once.
 */
final class BackendConnection extends SimpleChannelInboundHandler<HttpObject> {

    /** Idle time in milliseconds after which a connection is closed when the server doesn't state its own limit. */
    private static final long DEFAULT_IDLE_MILLIS = 4_000;
    /** Part of the server's own limit that is used, so that a request doesn't cross the server's close. */
    private static final double IDLE_PART = 0.7;

    private static final String TIMEOUT_PARAMETER = "timeout=";

    private final BackendPool pool;
    private Channel channel;
    private BackendUse use;
    private ScheduledFuture<?> idleTimer;
    private long idleMillis = DEFAULT_IDLE_MILLIS;
    private long lastAnswerNanos;
    private boolean hasHead;
    private boolean isDiscarding;
    private boolean isRetired;
    private boolean isReset;
    private boolean isRequestWritten;

    BackendConnection(BackendPool pool) {
        super(false);
        this.pool = pool;
    }

    Channel channel() {
        return channel;
    }

    /** Gives the connection to a use, which writes its request in the call. */
    void begin(BackendUse newUse) {
        if (idleTimer != null) {
            idleTimer.cancel(false);
        }
        use = newUse;
        hasHead = false;
        isRequestWritten = false;
        newUse.onConnected(this);
    }

    /** Notes that the last byte of the request was written, so that the connection may be used again. */
    void setRequestWritten() {
        isRequestWritten = true;
    }

    /** Ends the use early: the server learns by the closed connection that its work is not wanted any more. */
    void cancel() {
        use = null;
        isRetired = true;
        channel.close();
    }

    /** Returns whether an answer came so recently that the server has surely not closed the connection. */
    boolean isFresh(long freshMillis) {
        return System.nanoTime() - lastAnswerNanos < TimeUnit.MILLISECONDS.toNanos(freshMillis);
    }

    boolean isOpen() {
        return channel.isActive() && !isRetired;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (use == null || message.decoderResult().isFailure()) {
            ReferenceCountUtil.release(message);
            isReset |= message.decoderResult().isFailure();
            context.close();
            return;
        }
        if (message instanceof HttpResponse head) {
            onHead(head);
        }
        if (message instanceof HttpContent content) {
            onContent(content);
        }
    }

    private void onHead(HttpResponse head) {
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            isDiscarding = true;
            return;
        }
        isDiscarding = !use.isAnswer(head);
        if (isDiscarding) {
            isRetired = true;
            Logger.warn("server {} sent an answer that belongs to another request", pool.serverName());
            return;
        }
        hasHead = true;
        isRetired |= !HttpUtil.isKeepAlive(head);
        readIdleLimit(head);
        use.onHead(head);
    }

    private void onContent(HttpContent content) {
        if (isDiscarding) {
            content.release();
            isDiscarding = !(content instanceof LastHttpContent);
            return;
        }
        boolean isLast = content instanceof LastHttpContent;
        if (isLast && isReset) {
            content.release();
            return;
        }
        use.onContent(content);
        if (isLast && use != null) {
            complete();
        }
    }

    private void complete() {
        BackendUse done = use;
        use = null;
        lastAnswerNanos = System.nanoTime();
        if (isRetired || !isRequestWritten) {
            channel.close();
        } else {
            idleTimer = channel.eventLoop().schedule(() -> channel.close(), idleMillis, TimeUnit.MILLISECONDS);
            pool.giveBack(this);
        }
        done.onComplete();
    }

    private void readIdleLimit(HttpResponse head) {
        String value = head.headers().get("Keep-Alive", "");
        int at = value.indexOf(TIMEOUT_PARAMETER);
        if (at < 0) {
            return;
        }
        String digits = value.substring(at + TIMEOUT_PARAMETER.length()).replaceAll("[^0-9].*", "");
        if (!digits.isEmpty() && digits.length() < 7) {
            idleMillis = (long) (TimeUnit.SECONDS.toMillis(Long.parseLong(digits)) * IDLE_PART);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (use != null && channel.isWritable()) {
            use.onWritable();
        }
    }

    /** A reset must not make an answer without a stated length look whole, so it is noted before the decoder ends. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        isReset = true;
        Logger.debug("connection to server {}: {}", pool.serverName(), cause.toString());
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        isRetired = true;
        if (idleTimer != null) {
            idleTimer.cancel(false);
        }
        pool.forget(this);
        if (use != null) {
            BackendUse broken = use;
            use = null;
            broken.onBroken(hasHead);
        }
    }
}
