package org.hyssophitch.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import org.hyssophitch.core.call.Reason;
import org.tinylog.Logger;

/**
 * One connection from a caller. Not thread-safe; confined to one event loop.
 *
 * <p>Pipelined requests are processed concurrently and answered in the order in which they were received.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

    private final CallDispatcher dispatcher;
    private final RequestRules rules;
    private final FrontListener listener;
    private final Deque<CallerExchange> exchanges = new ArrayDeque<>();
    private final HeadEvaluator heads;
    private final IdleTimer idleTimer;
    private ChannelHandlerContext context;
    private CallerReading reading;
    private CallerExchange receiving;
    private ScheduledFuture<?> headTimer;
    private boolean isClosing;
    private boolean acceptsRequests = true;
    private boolean closesWhenIdle;
    private boolean isFlushing;

    CallerConnection(CallDispatcher dispatcher, RequestRules rules, FrontListener listener) {
        this.dispatcher = dispatcher;
        this.rules = rules;
        this.listener = listener;
        this.heads = new HeadEvaluator(rules, listener);
        this.idleTimer = new IdleTimer(() -> rules.limits().idleTimeoutMillis(), this::onIdleTimeout);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
        reading = new CallerReading(added.channel(), this::onCallerLeft);
    }

    @Override
    public void channelActive(ChannelHandlerContext active) {
        listener.onOpen(this);
        idleTimer.start(active.executor());
    }

    /** Starts the header timeout when the first bytes of a new request are received. */
    void onBytesReceived() {
        if (receiving == null && headTimer == null && !isClosing) {
            int millis = rules.limits().headerTimeoutMillis();
            headTimer = context.executor().schedule(this::onHeadTimeout, millis, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext c, Object message) {
        if (isClosing || !(message instanceof HttpObject part)) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (part.decoderResult().isFailure()) {
            ReferenceCountUtil.release(message);
            onMalformed(part.decoderResult().cause());
            return;
        }
        if (part instanceof HttpRequest && isLastRequestPending()) {
            acceptsRequests = false;
            ReferenceCountUtil.release(message);
            return;
        }
        if (part instanceof HttpRequest request) {
            onHead(request);
        }
        if (part instanceof HttpContent content) {
            onContent(content);
        }
    }

    /** Passes on what was received of a body that is streamed. */
    @Override
    public void channelReadComplete(ChannelHandlerContext c) {
        if (receiving != null) {
            receiving.body().flush();
        }
    }

    /** Returns whether the connection may close after the last pending response, so that none could follow it. */
    private boolean isLastRequestPending() {
        return !exchanges.isEmpty() && (!acceptsRequests || isHttp10(exchanges.peekLast()));
    }

    /** Returns whether the response may have to end with the connection, because its caller knows no chunks. */
    private static boolean isHttp10(CallerExchange exchange) {
        return !exchange.request().protocolVersion().isKeepAliveDefault();
    }

    private void onHead(HttpRequest request) {
        stopHeadTimer();
        idleTimer.stop();
        String requestId = dispatcher.headerConventions().requestId(request.headers());
        CallerExchange exchange =
                new CallerExchange(this, dispatcher, request, RequestTarget.of(request.uri()), requestId);
        exchanges.add(exchange);
        exchanges.forEach(CallerExchange::resumeWithheld);
        receiving = exchange;
        acceptsRequests &= HttpUtil.isKeepAlive(request);
        updateReading();
        // The bytes after an invalid request may still belong to it, so no further request is accepted.
        acceptsRequests &= HeadEvaluator.isValid(exchange, request);
        heads.evaluate(exchange, request);
        if (exchange.isAccepted() && HttpUtil.is100ContinueExpected(request)) {
            exchange.sendContinue();
        }
    }

    private void onContent(HttpContent content) {
        CallerExchange exchange = receiving;
        if (exchange == null) {
            content.release();
            return;
        }
        boolean isLast = content instanceof LastHttpContent;
        if (isLast) {
            receiving = null;
            updateReading();
        }
        if (exchange.isAnswered()) {
            content.release();
            return;
        }
        exchange.body().add(content.content());
        if (exchange.body().size() > rules.limits().maxBodyBytes()) {
            exchange.reject(Reason.BODY_TOO_LARGE, 0, "");
            return;
        }
        if (!isLast && !exchange.isDispatched() && dispatcher.uploadMemory().isFull()) {
            exchange.reject(Reason.UPLOADS_FULL, Reason.RETRY_ELSEWHERE_MILLIS, "");
            return;
        }
        if (isLast) {
            exchange.body().complete();
        } else if (exchange.body().isFull()) {
            pauseBody(exchange);
        }
        exchange.dispatchWhenReady();
    }

    /** Returns the stop of this host; empty before. */
    Optional<StopState> stop() {
        return listener.stop();
    }

    private void onMalformed(Throwable cause) {
        boolean isTooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
        Reason reason = isTooLong ? Reason.HEAD_TOO_LARGE : Reason.BAD_REQUEST;
        Logger.debug("malformed request from {}: {}", context.channel().remoteAddress(), cause.toString());
        boolean isCloseAnnounced = !acceptsRequests && !exchanges.isEmpty();
        acceptsRequests = false;
        if (receiving != null && !receiving.isAnswered()) {
            receiving.reject(reason, 0, cause.toString());
        } else if (receiving == null && !isCloseAnnounced) {
            rejectUndecoded(reason);
        }
    }

    private void onHeadTimeout() {
        headTimer = null;
        if (exchanges.isEmpty() && !isClosing) {
            acceptsRequests = false;
            rejectUndecoded(Reason.HEAD_TIMEOUT);
        }
    }

    /**
     * Queues an error response, after the responses to earlier requests, to a request whose head is malformed or timed
     * out. The connection closes after it.
     */
    private void rejectUndecoded(Reason reason) {
        DefaultFullHttpRequest placeholder = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
        CallerExchange exchange = new CallerExchange(this, dispatcher, placeholder, "", "");
        exchanges.add(exchange);
        exchange.reject(reason, 0, "");
    }

    /** Writes the available output of the exchanges in request order. */
    void flushOutput() {
        if (isFlushing) {
            return;
        }
        isFlushing = true;
        boolean hasWritten = false;
        while (!isClosing && !exchanges.isEmpty() && context.channel().isWritable()) {
            CallerExchange first = exchanges.peek();
            HttpObject part = first.pollOutput();
            if (part == null) {
                break;
            }
            hasWritten = true;
            boolean isLast = first.isOutputComplete();
            if (part instanceof HttpResponse head && head.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
                setConnectionHeaders(first, head);
            }
            context.write(part);
            if (isLast) {
                onResponseWritten();
            }
        }
        isFlushing = false;
        if (hasWritten) {
            context.flush();
        }
    }

    /** Sets the connection headers of a response. Once they announce the close, no request is accepted any more. */
    private void setConnectionHeaders(CallerExchange exchange, HttpResponse head) {
        boolean isUnreceived = receiving == exchange && exchange.hasBody() && !BodyRest.isSmall(exchange);
        boolean isCloseDelimited = isHttp10(exchange) && HttpUtil.isTransferEncodingChunked(head);
        if (isCloseDelimited) {
            head.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
        }
        boolean isLast = exchanges.size() == 1;
        acceptsRequests &=
                !isUnreceived && !isCloseDelimited && !(listener.stop().isPresent() && isLast);
        HttpUtil.setKeepAlive(head.headers(), exchange.request().protocolVersion(), acceptsRequests || !isLast);
    }

    private void onResponseWritten() {
        resumeBody(exchanges.poll());
        boolean isLast = !acceptsRequests || closesWhenIdle && headTimer == null;
        if (isLast && exchanges.isEmpty()) {
            closeGracefully();
            return;
        }
        updateReading();
        if (exchanges.isEmpty()) {
            idleTimer.start(context.executor());
        }
    }

    /** Stops reading while the rest of a request's body is due; a request that is received whole needs no pause. */
    void pauseBody(CallerExchange exchange) {
        reading.pauseBody(exchange);
        updateReading();
    }

    void resumeBody(CallerExchange exchange) {
        reading.resumeBody(exchange);
        updateReading();
    }

    private void updateReading() {
        if (isClosing) {
            reading.resume();
        } else {
            reading.update(receiving, exchanges.size());
        }
    }

    private void onCallerLeft() {
        Logger.debug(
                "caller {} left while its connection wasn't read",
                context.channel().remoteAddress());
        listener.onLeftUnread();
        context.close();
    }

    void onAnswered(CallerExchange exchange, Reason reason, int status, long elapsedMicros) {
        rules.onAnswered(exchange.requestId(), exchange.team(), reason, status, elapsedMicros);
    }

    /** Returns whether this connection has unanswered requests or unsent responses. */
    boolean isBusy() {
        return !exchanges.isEmpty() || GracefulClose.unsentBytes(context.channel()) > 0;
    }

    /** Returns whether this connection is being closed; the end of a response may still be on its way. */
    boolean isClosing() {
        return isClosing;
    }

    /** Returns the requests without a wholly written response, in the order in which they were received. */
    List<CallerExchange> pending() {
        return List.copyOf(exchanges);
    }

    /** Resets the connection, so that an incomplete response can't look complete. */
    void abort() {
        isClosing = true;
        Channel channel = context.channel();
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    /**
     * Closes the connection when no response is due. A request that arrives before that still gets one: an earlier
     * response may have told the caller that the connection stays open.
     */
    void closeWhenIdle() {
        if (exchanges.isEmpty() && receiving == null && headTimer == null) {
            closeGracefully();
        } else {
            closesWhenIdle = true;
        }
    }

    private void closeGracefully() {
        isClosing = true;
        reading.stop();
        listener.stop().ifPresent(s -> s.reportUnfinished(pending()));
        cancelAll();
        GracefulClose.start(context.channel(), rules.limits().idleTimeoutMillis());
    }

    private void onIdleTimeout() {
        if (exchanges.isEmpty() && receiving == null && headTimer == null && !isClosing) {
            closeGracefully();
        }
    }

    private void cancelAll() {
        List<CallerExchange> cancelled = pending();
        exchanges.clear();
        cancelled.forEach(CallerExchange::onCallerGone);
    }

    private void stopHeadTimer() {
        if (headTimer != null) {
            headTimer.cancel(false);
            headTimer = null;
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext c) {
        if (c.channel().isWritable()) {
            flushOutput();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext c, Throwable cause) {
        Logger.debug("connection from caller {} failed: {}", c.channel().remoteAddress(), cause.toString());
        c.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext c) {
        isClosing = true;
        stopHeadTimer();
        reading.stop();
        idleTimer.stop();
        listener.onClose(this);
        cancelAll();
    }
}
