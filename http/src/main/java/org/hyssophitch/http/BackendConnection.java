package org.hyssophitch.http;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.hyssophitch.core.call.AnswerFault;
import org.hyssophitch.core.call.BodyFraming;
import org.hyssophitch.core.call.EmbeddedHeadVerdict;
import org.tinylog.Logger;

/**
 * One connection to a backend server, which carries one request at a time. Not thread-safe; confined to one event loop
 * from connect to close.
 *
 * <p>Unexpected bytes are never delivered: a response that belongs to another request is discarded and the connection
 * is closed after the current response; any bytes on an idle connection close it immediately.
 */
final class BackendConnection extends SimpleChannelInboundHandler<HttpObject> {

    /** Idle timeout in milliseconds when the server sends no {@code Keep-Alive: timeout}. */
    private static final int DEFAULT_IDLE_TIMEOUT_MILLIS = 4_000;
    /** Fraction of the server's own idle timeout that is used, so that no request races with the server's close. */
    private static final double IDLE_TIMEOUT_FRACTION = 0.7;

    /** Maximum number of bytes that a server may send, after a request, without being part of its answer. */
    private static final int MAX_FOREIGN_BYTES = 262_144;

    private final BackendPool pool;
    private final AnswerRejections rejections;
    private final RecentRequests recentRequests = new RecentRequests();
    private final BackendResponseDecoder decoder = new BackendResponseDecoder(this);
    private final IdleTimer idleTimer;
    private Channel channel;
    private BackendExchange exchange;
    /** Body of the answer that is being received; null before its head. */
    private AnswerBody body;
    /** Last piece of the answer while it isn't known whether the server has ended the answer there; else null. */
    private HeldEnd heldEnd;

    private int idleTimeoutMillis = DEFAULT_IDLE_TIMEOUT_MILLIS;
    private long lastResponseNanos;
    private boolean hasResponseHead;
    private boolean isDiscarding;
    private boolean isClosing;
    private boolean isInputEnded;
    private boolean isInputLost;
    private boolean isUnusable;
    private boolean isExcessive;
    private boolean isRequestWritten;

    BackendConnection(BackendPool pool) {
        super(false);
        this.pool = pool;
        this.rejections = new AnswerRejections(pool);
        this.idleTimer = new IdleTimer(() -> idleTimeoutMillis, () -> channel.close());
    }

    BackendResponseDecoder decoder() {
        return decoder;
    }

    Channel channel() {
        return channel;
    }

    /** Assigns the connection to an exchange, which writes its request before this method returns. */
    void begin(BackendExchange newExchange) {
        idleTimer.stop();
        exchange = newExchange;
        hasResponseHead = false;
        isRequestWritten = false;
        rejections.onRequest(newExchange.requestId());
        recentRequests.add(newExchange);
        newExchange.onConnected(this);
    }

    /** Records that the request was written completely, so that the connection can be reused. */
    void setRequestWritten() {
        isRequestWritten = true;
    }

    /** Records that bytes arrived; those on an idle connection may begin a response that ends behind a request. */
    void onBytes(int count) {
        rejections.onBytes(count);
        if (exchange == null && !isClosing) {
            closeFor(AnswerFault.UNSOLICITED);
        }
    }

    /** Records that the server has ended its output in an orderly way; no request may be sent from now on. */
    void onInputEnded() {
        isInputEnded = !isInputLost;
        isClosing = true;
    }

    /** Records that the channel was closed or failed; without an orderly end before it, an answer is cut off. */
    void onInputLost() {
        isInputLost = !isInputEnded;
        isClosing = true;
    }

    /** Reports that the current answer is not taken as the whole answer to a request. */
    void reject(AnswerFault fault) {
        rejections.report(fault);
    }

    /** Returns whether the end of the current answer is held back. */
    boolean isEndHeld() {
        return heldEnd != null;
    }

    /** Returns whether the request in flight is a HEAD request. */
    boolean isHeadInFlight() {
        return exchange != null && exchange.isHead();
    }

    /** Cancels the current exchange by closing the connection, which tells the server to stop the work. */
    void cancel() {
        exchange = null;
        if (isEndHeld()) {
            heldEnd.discard();
            heldEnd = null;
        }
        isClosing = true;
        channel.close();
    }

    /** Returns whether the last response is so recent that the server can't have closed the idle connection yet. */
    boolean isRecentlyUsed(long maxAgeMillis) {
        return System.nanoTime() - lastResponseNanos < TimeUnit.MILLISECONDS.toNanos(maxAgeMillis);
    }

    /** Returns whether the connection has carried a request with this id, of which a late answer may still arrive. */
    boolean hasCarried(String requestId) {
        return recentRequests.mayContain(requestId);
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
        if (isEndHeld()) {
            onMessageBehindEnd(message);
            return;
        }
        if (exchange == null || isUnusable || message.decoderResult().isFailure()) {
            ReferenceCountUtil.release(message);
            onUnusable(message.decoderResult());
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

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (exchange != null) {
            exchange.onReadComplete();
        }
    }

    private void onUnusable(DecoderResult result) {
        isUnusable |= result.isFailure();
        if (exchange == null && !isClosing) {
            reject(AnswerFault.UNSOLICITED);
        } else if (exchange != null && !isInputEnded && !isInputLost) {
            rejections.reportMalformed(result.cause());
        }
    }

    private void onResponseHead(HttpResponse head) {
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            onInterimHead(head);
            return;
        }
        ResponseMatch match = exchange.match(head);
        Optional<AnswerFault> fault = recentRequests.fault(match, head.status());
        fault.ifPresent(this::reject);
        isDiscarding = fault.isPresent();
        boolean isForeign = match == ResponseMatch.FOREIGN;
        boolean mayAnswerFollow =
                isForeign && !recentRequests.hasHeadRequest() && AnswerBody.framing(head) != BodyFraming.UNTIL_CLOSE;
        hasResponseHead |= !mayAnswerFollow;
        if (isForeign) {
            recentRequests.onForeignResponse();
        }
        isClosing |= isForeign || match == ResponseMatch.UNIDENTIFIED_REFUSAL;
        if (isDiscarding) {
            fault.filter(f -> !mayAnswerFollow).ifPresent(this::closeFor);
            return;
        }
        isClosing |= !HttpUtil.isKeepAlive(head);
        KeepAliveTimeout.millis(head).ifPresent(t -> idleTimeoutMillis = (int) (t * IDLE_TIMEOUT_FRACTION));
        body = new AnswerBody(head, exchange, recentRequests);
        exchange.onResponseHead(head);
    }

    /** Discards an interim response. No request asks for another protocol, so the server can't switch to one. */
    private void onInterimHead(HttpResponse head) {
        isDiscarding = true;
        if (HttpResponseStatus.SWITCHING_PROTOCOLS.equals(head.status())) {
            closeFor(AnswerFault.MALFORMED);
        }
    }

    private void onContent(HttpContent content) {
        if (isDiscarding) {
            content.release();
            isDiscarding = !(content instanceof LastHttpContent);
            limitForeignBytes();
            return;
        }
        boolean isLast = content instanceof LastHttpContent;
        if (isLast && (isInputLost || isUnusable)) {
            content.release();
            return;
        }
        body.scan(content);
        if (body.isRepeated(isLast)) {
            content.release();
            reportEmbeddedHead(EmbeddedHeadVerdict.REPEATED);
            closeFor(AnswerFault.REPEATED);
            return;
        }
        if (isLast && body.isEndDoubtful()) {
            Optional<HttpRequest> confirmation = exchange.confirmationRequest();
            if (confirmation.isPresent()) {
                holdEnd(content, confirmation.get());
                return;
            }
        }
        relay(content);
    }

    private void relay(HttpContent content) {
        exchange.onContent(content);
        if (content instanceof LastHttpContent && exchange != null) {
            complete();
        }
    }

    /** Closes the connection to a server that keeps sending what is no part of an answer to the request. */
    private void limitForeignBytes() {
        if (rejections.receivedBytes() > MAX_FOREIGN_BYTES) {
            isExcessive = true;
            closeFor(AnswerFault.EXCESSIVE);
        }
    }

    private void closeFor(AnswerFault fault) {
        reject(fault);
        isUnusable = true;
        channel.close();
    }

    /**
     * Holds back the end of an answer whose length may have been filled by a second one. A health request behind it
     * makes the server show the end: what arrives before the response to it belongs to the answer.
     */
    private void holdEnd(HttpContent end, HttpRequest confirmation) {
        Runnable onTimeout = () -> settleEnd(body.verdictWithoutProof());
        heldEnd = new HeldEnd(end, channel.eventLoop(), exchange.onEndHeld(), onTimeout);
        channel.config().setAutoRead(true);
        if (isRequestWritten && !isInputEnded && body.isConnectionKept()) {
            channel.writeAndFlush(confirmation);
        }
    }

    private void onMessageBehindEnd(HttpObject message) {
        EmbeddedHeadVerdict verdict = body.verdictBefore(message, exchange);
        ReferenceCountUtil.release(message);
        settleEnd(verdict);
    }

    /** Relays the end that was held back, or ends the exchange, and closes the connection. */
    private void settleEnd(EmbeddedHeadVerdict verdict) {
        HttpContent end = heldEnd.take();
        heldEnd = null;
        isClosing = true;
        if (body.hasStatusLine() || verdict == EmbeddedHeadVerdict.REPEATED) {
            reportEmbeddedHead(verdict);
        }
        if (verdict == EmbeddedHeadVerdict.REPEATED) {
            end.release();
            closeFor(AnswerFault.REPEATED);
            return;
        }
        relay(end);
    }

    private void reportEmbeddedHead(EmbeddedHeadVerdict verdict) {
        pool.onEmbeddedHead(exchange.requestId(), body.framing(), verdict);
    }

    private void complete() {
        BackendExchange completed = exchange;
        exchange = null;
        rejections.onAnswered();
        lastResponseNanos = System.nanoTime();
        if (isClosing || !isRequestWritten) {
            channel.close();
        } else if (decoder.hasSurplus()) {
            closeFor(AnswerFault.UNSOLICITED);
        } else {
            idleTimer.start(channel.eventLoop());
            pool.release(this);
        }
        completed.onComplete();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (exchange != null && channel.isWritable()) {
            exchange.onWritable();
        }
    }

    /** Closes the connection: after the orderly end of its input, no further answer can arrive. */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            context.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        isUnusable = true;
        Logger.debug("connection to server {} failed: {}", pool.serverName(), cause.toString());
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        isClosing = true;
        idleTimer.stop();
        pool.remove(this);
        if (isEndHeld()) {
            boolean isEndedThere = isInputEnded && !decoder.hasBytesBehindEnd();
            settleEnd(isEndedThere ? EmbeddedHeadVerdict.CONTENT : body.verdictWithoutProof());
        }
        if (exchange != null) {
            if (rejections.receivedBytes() > 0) {
                reject(isInputLost ? AnswerFault.RESET : AnswerFault.CUT_OFF);
            }
            BackendExchange interrupted = exchange;
            exchange = null;
            interrupted.onConnectionLost(hasResponseHead || isExcessive);
        }
    }
}
