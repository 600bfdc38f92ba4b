package org.hyssophitch.http;

import java.util.Optional;
import java.util.function.Predicate;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import org.hyssophitch.core.call.AnswerFault;
import org.hyssophitch.core.call.AttemptResult;
import org.hyssophitch.core.call.AttemptResult.LostCause;
import org.hyssophitch.core.call.AttemptResult.NotRunCause;
import org.hyssophitch.core.call.CallAction;
import org.hyssophitch.core.call.CallEvent;
import org.hyssophitch.core.call.Reason;
import org.hyssophitch.wire.concurrent.WallClock;

/**
 * One attempt of a call: sends the request to one backend server and receives its response. Not thread-safe; confined
 * to one event loop.
 *
 * <p>A response is buffered until it is complete or exceeds the buffer size, so that a response that is cut off early
 * can be replaced by that of another attempt.
 */
final class BackendAttempt implements BackendExchange, RequestBody.Sink {

    /** Size in bytes of an unrelayed response above which reading from the backend server is paused. */
    private static final int MAX_UNRELAYED_BYTES = 131_072;

    /** Maximum time in milliseconds without progress of a response that is relayed after its deadline. */
    private static final int MAX_LATE_SILENCE_MILLIS = 200;
    /** Maximum time in milliseconds for which the end of a response may be held back. */
    private static final long MAX_HELD_END_MILLIS = 1_000;
    /** Time in milliseconds before the deadline at which a response whose end is held back has to be relayed. */
    private static final long HELD_END_MARGIN_MILLIS = 50;

    /** Maximum size in bytes of the body of a refusal, which is discarded. */
    private static final int MAX_REFUSAL_BYTES = 65_536;

    private static final long MICROS_PER_MILLI = 1_000;

    private final CallerExchange exchange;
    private final CallAction.StartAttempt action;
    private final CallDispatcher dispatcher;
    private final BodyBuffer buffered = new BodyBuffer();
    private BackendConnection connection;
    private StallDetector stallDetector = StallDetector.NONE;
    private HttpResponse head;
    private RefusalVerdict refusal = RefusalVerdict.NO_REFUSAL;
    private long sentMicros;
    private int discardedBytes;
    private boolean isAnswerStarted;
    private boolean isRelaying;
    private boolean isComplete;
    private boolean isEnded;

    BackendAttempt(CallerExchange exchange, CallAction.StartAttempt action, CallDispatcher dispatcher) {
        this.exchange = exchange;
        this.action = action;
        this.dispatcher = dispatcher;
    }

    void start(BackendPools pools) {
        pools.of(action.server()).acquire(this, !exchange.isIdempotent());
    }

    /** Cancels the attempt. The call engine requested this, so it gets no event. */
    void cancel() {
        isEnded = true;
        stallDetector.stop();
        buffered.clear();
        if (connection != null && !isComplete) {
            connection.cancel();
        }
    }

    /** Ends the attempt after a failure of this host; the server may have got part of the request once connected. */
    void fail() {
        if (isEnded) {
            return;
        }
        if (connection == null) {
            onConnectFailed();
        } else {
            connection.cancel();
            end(new AttemptResult.Lost(LostCause.CONNECTION_LOST));
        }
    }

    /** Relays the buffered part of the response to the caller, and everything received from now on. */
    void relay() {
        isRelaying = true;
        exchange.beginResponse(head, action.server());
        for (ByteBuf block = buffered.poll(); block != null; block = buffered.poll()) {
            exchange.relayContent(block);
        }
        if (isComplete) {
            exchange.endResponse();
        } else {
            setAutoRead(true);
            exchange.flush();
            endIfSilentAfterDeadline();
        }
    }

    /** Ends a response that goes silent once its deadline has passed; one that goes on arriving is relayed further. */
    private void endIfSilentAfterDeadline() {
        if (stallDetector == StallDetector.NONE) {
            long remainingMicros = Math.max(0, action.deadlineMicros() - WallClock.nowMicros());
            stallDetector = StallDetector.startLater(
                    dispatcher.loop(), remainingMicros, MAX_LATE_SILENCE_MILLIS, this::onStall);
        }
    }

    /** Pauses or resumes reading of the response (backpressure from the caller). */
    void setAutoRead(boolean isReading) {
        if (connection != null && !isComplete) {
            connection.channel().config().setAutoRead(isReading);
            stallDetector.setPaused(!isReading);
        }
    }

    @Override
    public String requestId() {
        return exchange.requestId();
    }

    @Override
    public boolean isHead() {
        return HttpMethod.HEAD.equals(exchange.request().method());
    }

    @Override
    public ResponseMatch match(HttpResponse candidate) {
        HeaderConventions conventions = dispatcher.headerConventions();
        if (action.isForward()) {
            return conventions.isForwardResponseTo(candidate.headers(), exchange.requestId())
                    ? ResponseMatch.ANSWER
                    : ResponseMatch.FOREIGN;
        }
        return ResponseMatch.ofServer(candidate, exchange.requestId(), conventions);
    }

    /** Finds none in the response of another entry host, which has looked for them itself. */
    @Override
    public boolean isEmbeddedResponse(
            HttpHeaders embedded, boolean isWhole, HttpResponse response, Predicate<String> wasRequested) {
        return !action.isForward()
                && dispatcher
                        .headerConventions()
                        .isEmbeddedResponse(embedded, isWhole, response.headers(), wasRequested);
    }

    @Override
    public Optional<HttpRequest> confirmationRequest() {
        return action.isForward()
                ? Optional.empty()
                : Optional.of(LoadProber.request(action.server(), action.healthPath()));
    }

    @Override
    public boolean provesEnd(HttpResponse next) {
        return !ResponseMatch.hasStatusOfAnother(next)
                && dispatcher.headerConventions().isServerResponse(next.headers());
    }

    @Override
    public long onEndHeld() {
        stallDetector.setPaused(true);
        long remainingMillis = (action.deadlineMicros() - WallClock.nowMicros()) / MICROS_PER_MILLI;
        return Math.clamp(remainingMillis - HELD_END_MARGIN_MILLIS, 0, MAX_HELD_END_MILLIS);
    }

    @Override
    public void onConnected(BackendConnection newConnection) {
        long now = WallClock.nowMicros();
        if (isEnded) {
            newConnection.cancel();
            return;
        }
        connection = newConnection;
        stallDetector = StallDetector.start(dispatcher.loop(), action.stallMillis(), this::onStall);
        if (now >= action.deadlineMicros()) {
            // The process was paused or connecting took too long. The deadline has passed, so don't send the request.
            newConnection.cancel();
            end(new AttemptResult.NotRun(NotRunCause.CONNECT_FAILED));
            return;
        }
        if (!dispatcher.maySend(action.callId())) {
            newConnection.cancel();
            end(new AttemptResult.NotRun(NotRunCause.KEY_REMOVED));
            return;
        }
        sentMicros = now;
        try {
            send(now);
        } catch (RuntimeException e) {
            dispatcher.onActionFailed(action, e);
            fail();
        }
    }

    private void send(long now) {
        long remainingMillis = (action.deadlineMicros() - now) / MICROS_PER_MILLI;
        connection
                .channel()
                .write(ServerRequestHead.of(exchange, action, dispatcher.headerConventions(), remainingMillis));
        exchange.sendBody(this);
        connection.channel().flush();
    }

    @Override
    public void onConnectFailed() {
        end(new AttemptResult.NotRun(NotRunCause.CONNECT_FAILED));
    }

    @Override
    public void write(ByteBuf piece) {
        if (isEnded || connection == null || !connection.channel().isActive()) {
            piece.release();
            return;
        }
        connection.channel().write(new DefaultHttpContent(piece));
        if (!connection.channel().isWritable()) {
            exchange.pauseBody();
        }
    }

    @Override
    public void flush() {
        if (!isEnded && connection != null) {
            connection.channel().flush();
        }
    }

    @Override
    public void end() {
        if (!isEnded && connection != null) {
            connection.setRequestWritten();
            connection.channel().writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        }
    }

    @Override
    public void onWritable() {
        stallDetector.onProgress();
        exchange.resumeBody();
    }

    @Override
    public void onResponseHead(HttpResponse response) {
        stallDetector.onProgress();
        head = response;
        if (action.isForward()) {
            refusal = RefusalVerdict.ofEntryHost(response, dispatcher.headerConventions());
        } else {
            observeServer(response);
        }
        if (dispatcher.responseBufferBytes() == CallDispatcher.NO_RESPONSE_BUFFERING && !refusal.isRefusal()) {
            startAnswer();
        }
    }

    private void observeServer(HttpResponse response) {
        refusal = RefusalVerdict.ofServer(response, dispatcher.headerConventions());
        ServerReports.pass(response, action.server().name(), sentMicros, refusal.isOtherInstance(), dispatcher);
        if (refusal.isUnproven()) {
            connection.reject(AnswerFault.UNTRUSTED_REFUSAL);
        }
    }

    @Override
    public void onContent(HttpContent content) {
        stallDetector.onProgress();
        if (isEnded) {
            content.release();
            return;
        }
        if (refusal.isRefusal()) {
            discard(content);
            return;
        }
        if (isRelaying) {
            exchange.relayContent(content.content());
            return;
        }
        buffered.add(content.content());
        if (buffered.size() > dispatcher.responseBufferBytes() && !isAnswerStarted) {
            startAnswer();
        }
        if (buffered.size() > MAX_UNRELAYED_BYTES && !isRelaying) {
            setAutoRead(false);
        }
    }

    /** Discards a part of a refusal, whose status decides; a refusal without end is ended. */
    private void discard(HttpContent content) {
        discardedBytes += content.content().readableBytes();
        content.release();
        if (discardedBytes > MAX_REFUSAL_BYTES) {
            connection.reject(AnswerFault.EXCESSIVE);
            connection.cancel();
            onConnectionLost(true);
        }
    }

    @Override
    public void onReadComplete() {
        if (isRelaying && !isEnded) {
            exchange.flush();
        }
    }

    @Override
    public void onComplete() {
        isComplete = true;
        stallDetector.stop();
        if (isEnded) {
            return;
        }
        if (refusal.notRunCause().isPresent()) {
            end(new AttemptResult.NotRun(refusal.notRunCause().get()));
            return;
        }
        if (refusal.isUnproven()) {
            // The status alone would tell the caller that the request was not run, but the server gave no such proof.
            end(new AttemptResult.Lost(LostCause.ANSWER_BROKEN));
            return;
        }
        if (isRelaying) {
            exchange.endResponse();
        } else if (!isAnswerStarted) {
            startAnswer();
        }
        dispatcher.handle(endEvent(new AttemptResult.Completed()));
    }

    @Override
    public void onConnectionLost(boolean hasHead) {
        if (hasHead && refusal.notRunCause().isPresent()) {
            end(new AttemptResult.NotRun(refusal.notRunCause().get()));
        } else {
            end(new AttemptResult.Lost(hasHead ? LostCause.ANSWER_BROKEN : LostCause.CONNECTION_LOST));
        }
    }

    private void onStall() {
        connection.cancel();
        end(new AttemptResult.Lost(LostCause.STALLED));
    }

    private void startAnswer() {
        isAnswerStarted = true;
        dispatcher.handle(new CallEvent.AnswerStarted(
                WallClock.nowMicros(),
                action.callId(),
                action.attempt(),
                head.status().code()));
    }

    private void end(AttemptResult result) {
        if (isEnded) {
            return;
        }
        isEnded = true;
        stallDetector.stop();
        buffered.clear();
        dispatcher.handle(endEvent(result));
        if (isRelaying) {
            // The engine no longer tracks an attempt whose buffered error response is relayed, so it won't request the
            // abort.
            exchange.abortResponse(Reason.ANSWER_BROKEN);
        }
    }

    private CallEvent.AttemptEnded endEvent(AttemptResult result) {
        return new CallEvent.AttemptEnded(WallClock.nowMicros(), action.callId(), action.attempt(), result);
    }
}
