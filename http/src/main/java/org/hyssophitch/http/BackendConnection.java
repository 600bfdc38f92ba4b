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
    private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 4_000;
    /** Part of the server's own limit that is used, so that a request doesn't cross the server's close. */
    private static final double IDLE_TIMEOUT_FRACTION = 0.7;

    private static final String TIMEOUT_PARAMETER = "timeout=";

    private final BackendPool pool;
    private Channel channel;
    private BackendExchange exchange;
    private ScheduledFuture<?> idleTimer;
    private long idleTimeoutMillis = DEFAULT_IDLE_TIMEOUT_MILLIS;
    private long lastResponseNanos;
    private boolean hasResponseHead;
    private boolean isDiscarding;
    private boolean isClosing;
    private boolean isTruncated;
    private boolean isRequestWritten;

    BackendConnection(BackendPool pool) {
        super(false);
        this.pool = pool;
    }

    Channel channel() {
        return channel;
    }

    /** Gives the connection to a exchange, which writes its request in the call. */
    void begin(BackendExchange newExchange) {
        if (idleTimer != null) {
            idleTimer.cancel(false);
        }
        exchange = newExchange;
        hasResponseHead = false;
        isRequestWritten = false;
        newExchange.onConnected(this);
    }

    /** Notes that the last byte of the request was written, so that the connection may be used again. */
    void setRequestWritten() {
        isRequestWritten = true;
    }

    /** Ends the use early: the server learns by the closed connection that its work is not wanted any more. */
    void cancel() {
        exchange = null;
        isClosing = true;
        channel.close();
    }

    /** Returns whether an answer came so recently that the server has surely not closed the connection. */
    boolean isRecentlyUsed(long maxAgeMillis) {
        return System.nanoTime() - lastResponseNanos < TimeUnit.MILLISECONDS.toNanos(maxAgeMillis);
    }

    boolean isOpen() {
        return channel.isActive() && !isClosing;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (exchange == null || message.decoderResult().isFailure()) {
            ReferenceCountUtil.release(message);
            isTruncated |= message.decoderResult().isFailure();
            context.close();
            return;
        }
        if (message instanceof HttpResponse head) {
            onResponseHead(head);
        }
        if (message instanceof HttpContent content) {
            onContent(content);
        }
    }

    private void onResponseHead(HttpResponse head) {
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            isDiscarding = true;
            return;
        }
        isDiscarding = !exchange.isExpectedResponse(head);
        if (isDiscarding) {
            isClosing = true;
            Logger.warn("server {} sent an answer that belongs to another request", pool.serverName());
            return;
        }
        hasResponseHead = true;
        isClosing |= !HttpUtil.isKeepAlive(head);
        readIdleTimeout(head);
        exchange.onResponseHead(head);
    }

    private void onContent(HttpContent content) {
        if (isDiscarding) {
            content.release();
            isDiscarding = !(content instanceof LastHttpContent);
            return;
        }
        boolean isLast = content instanceof LastHttpContent;
        if (isLast && isTruncated) {
            content.release();
            return;
        }
        exchange.onContent(content);
        if (isLast && exchange != null) {
            complete();
        }
    }

    private void complete() {
        BackendExchange done = exchange;
        exchange = null;
        lastResponseNanos = System.nanoTime();
        if (isClosing || !isRequestWritten) {
            channel.close();
        } else {
            idleTimer = channel.eventLoop().schedule(() -> channel.close(), idleTimeoutMillis, TimeUnit.MILLISECONDS);
            pool.release(this);
        }
        done.onComplete();
    }

    private void readIdleTimeout(HttpResponse head) {
        String value = head.headers().get("Keep-Alive", "");
        int start = value.indexOf(TIMEOUT_PARAMETER);
        if (start < 0) {
            return;
        }
        String digits = value.substring(start + TIMEOUT_PARAMETER.length()).replaceAll("[^0-9].*", "");
        if (!digits.isEmpty() && digits.length() < 7) {
            idleTimeoutMillis = (long) (TimeUnit.SECONDS.toMillis(Long.parseLong(digits)) * IDLE_TIMEOUT_FRACTION);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (exchange != null && channel.isWritable()) {
            exchange.onWritable();
        }
    }

    /** A reset must not make an answer without a stated length look whole, so it is noted before the decoder ends. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        isTruncated = true;
        Logger.debug("connection to server {}: {}", pool.serverName(), cause.toString());
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        isClosing = true;
        if (idleTimer != null) {
            idleTimer.cancel(false);
        }
        pool.remove(this);
        if (exchange != null) {
            BackendExchange broken = exchange;
            exchange = null;
            broken.onBroken(hasResponseHead);
        }
    }
}
