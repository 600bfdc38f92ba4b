package org.hyssophitch.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.hyssophitch.core.call.AttemptResult;
import org.hyssophitch.core.call.AttemptResult.LostCause;
import org.hyssophitch.core.call.AttemptResult.NotRunCause;
import org.hyssophitch.core.call.CallAction;
import org.hyssophitch.core.call.CallEvent;
import org.hyssophitch.core.call.Reason;
import org.hyssophitch.wire.duty.WallClock;

/**
 * One attempt of a call at one backend server. Not thread-safe; lives on one event loop.
 *
 * <p>An answer is kept until it is whole or too large to be kept, so that one that breaks early can be replaced by
 * another attempt's.
 */
final class BackendAttempt implements BackendUse, RequestBody.Sink {

    /** Bytes of an answer that nobody takes yet, above which it isn't read on. */
    private static final int MAX_UNUSED_BYTES = 131_072;

    private static final long MICROS_PER_MILLI = 1_000;

    private final CallerExchange exchange;
    private final CallAction.StartAttempt action;
    private final CallCarrier carrier;
    private final Deque<HttpContent> kept = new ArrayDeque<>();
    private BackendConnection connection;
    private StallWatch stallWatch = StallWatch.NONE;
    private HttpResponse head;
    private Optional<NotRunCause> proof = Optional.empty();
    private int keptBytes;
    private boolean isFalsePromise;
    private boolean isStarted;
    private boolean isRelaying;
    private boolean isWhole;
    private boolean isOver;

    BackendAttempt(CallerExchange exchange, CallAction.StartAttempt action, CallCarrier carrier) {
        this.exchange = exchange;
        this.action = action;
        this.carrier = carrier;
    }

    void start(BackendPools pools) {
        pools.of(action.server()).acquire(this, !exchange.isIdempotent());
    }

    /** Ends the attempt without a word to the engine, which asked for it. */
    void cancel() {
        isOver = true;
        stallWatch.stop();
        releaseKept();
        if (connection != null && !isWhole) {
            connection.cancel();
        }
    }

    /** Hands the answer over to the caller, and all that still comes. */
    void relay() {
        isRelaying = true;
        exchange.beginAnswer(head, action.server());
        while (!kept.isEmpty()) {
            exchange.answer(kept.poll());
        }
        if (isWhole) {
            exchange.endAnswer();
        } else {
            setReading(true);
            exchange.flush();
        }
    }

    /** Reads on or not, as fast as the caller takes the answer. */
    void setReading(boolean isReading) {
        if (connection != null && !isWhole) {
            connection.channel().config().setAutoRead(isReading);
            stallWatch.setPaused(!isReading);
        }
    }

    @Override
    public boolean isAnswer(HttpResponse candidate) {
        return carrier.dialect().isAnswerTo(candidate.headers(), exchange.requestId());
    }

    @Override
    public void onConnected(BackendConnection opened) {
        long now = WallClock.nowMicros();
        if (isOver) {
            opened.cancel();
            return;
        }
        connection = opened;
        stallWatch = StallWatch.start(carrier.loop(), action.stallMillis(), this::onStall);
        if (now >= action.deadlineMicros()) {
            // The process was paused or the connection came late: what nobody waits for any more isn't sent.
            opened.cancel();
            end(new AttemptResult.NotRun(NotRunCause.CONNECT_FAILED));
            return;
        }
        opened.channel().write(requestHead((action.deadlineMicros() - now) / MICROS_PER_MILLI));
        exchange.sendBody(this);
        opened.channel().flush();
    }

    @Override
    public void onConnectFailed() {
        end(new AttemptResult.NotRun(NotRunCause.CONNECT_FAILED));
    }

    @Override
    public void write(ByteBuf piece) {
        if (isOver || connection == null || !connection.channel().isActive()) {
            piece.release();
            return;
        }
        connection.channel().writeAndFlush(new DefaultHttpContent(piece));
        if (!connection.channel().isWritable()) {
            exchange.pauseBody();
        }
    }

    @Override
    public void end() {
        if (!isOver && connection != null) {
            connection.setRequestWritten();
            connection.channel().writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        }
    }

    @Override
    public void onWritable() {
        stallWatch.onProgress();
        exchange.resumeBody();
    }

    @Override
    public void onHead(HttpResponse answer) {
        stallWatch.onProgress();
        head = answer;
        int status = answer.status().code();
        long now = WallClock.nowMicros();
        carrier.dialect()
                .load(action.server().name(), status, answer.headers(), now)
                .ifPresent(r -> carrier.handle(new CallEvent.LoadReportsReceived(now, List.of(r))));
        proof = carrier.dialect().proofOfNotRun(status, answer.headers());
        isFalsePromise = proof.isEmpty() && carrier.dialect().isPromise(status);
        if (carrier.keptAnswerBytes() == CallCarrier.RELAY_AT_ONCE && proof.isEmpty() && !isFalsePromise) {
            startAnswer();
        }
    }

    @Override
    public void onContent(HttpContent content) {
        stallWatch.onProgress();
        if (isOver || proof.isPresent() || isFalsePromise) {
            content.release();
            return;
        }
        if (isRelaying) {
            exchange.answer(content);
            return;
        }
        kept.add(content);
        keptBytes += content.content().readableBytes();
        if (keptBytes > carrier.keptAnswerBytes() && !isStarted) {
            startAnswer();
        }
        if (keptBytes > MAX_UNUSED_BYTES && !isRelaying) {
            setReading(false);
        }
    }

    @Override
    public void onComplete() {
        isWhole = true;
        stallWatch.stop();
        if (isOver) {
            return;
        }
        if (proof.isPresent()) {
            end(new AttemptResult.NotRun(proof.get()));
            return;
        }
        if (isFalsePromise) {
            // The status would tell the caller that the request was not run, which the server doesn't say.
            end(new AttemptResult.Lost(LostCause.ANSWER_BROKEN));
            return;
        }
        if (isRelaying) {
            exchange.endAnswer();
        } else if (!isStarted) {
            startAnswer();
        }
        carrier.handle(ended(new AttemptResult.Completed()));
    }

    @Override
    public void onBroken(boolean hasHead) {
        boolean isRefused = hasHead && proof.isPresent();
        if (isRefused) {
            end(new AttemptResult.NotRun(proof.get()));
        } else {
            end(new AttemptResult.Lost(hasHead ? LostCause.ANSWER_BROKEN : LostCause.CONNECTION_LOST));
        }
    }

    private void onStall() {
        connection.cancel();
        end(new AttemptResult.Lost(LostCause.STALLED));
    }

    private void startAnswer() {
        isStarted = true;
        carrier.handle(new CallEvent.AnswerStarted(
                WallClock.nowMicros(),
                action.callId(),
                action.attempt(),
                head.status().code()));
    }

    private void end(AttemptResult result) {
        if (isOver) {
            return;
        }
        isOver = true;
        stallWatch.stop();
        releaseKept();
        carrier.handle(ended(result));
        if (isRelaying) {
            // The engine has let go of an attempt whose error answer was kept, and says nothing about its end.
            exchange.breakAnswer(Reason.ANSWER_BROKEN);
        }
    }

    private CallEvent.AttemptEnded ended(AttemptResult result) {
        return new CallEvent.AttemptEnded(WallClock.nowMicros(), action.callId(), action.attempt(), result);
    }

    private void releaseKept() {
        kept.forEach(HttpContent::release);
        kept.clear();
    }

    private HttpRequest requestHead(long remainingMillis) {
        HttpRequest original = exchange.request();
        DefaultHttpRequest copy =
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, original.method(), exchange.serverTarget());
        HopByHop.copyEndToEnd(original.headers(), copy.headers());
        String length = original.headers().get(HttpHeaderNames.CONTENT_LENGTH);
        if (length != null) {
            copy.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
        } else {
            HttpUtil.setTransferEncodingChunked(copy, HttpUtil.isTransferEncodingChunked(original));
        }
        carrier.dialect()
                .prepareRequest(
                        copy.headers(),
                        new OutgoingRequest(
                                action.server(), exchange.requestId(), remainingMillis, action.mayRetryDownstream()));
        return copy;
    }
}
