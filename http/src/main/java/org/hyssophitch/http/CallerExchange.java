package org.hyssophitch.http;

import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import org.hyssophitch.core.call.CallAction;
import org.hyssophitch.core.call.CallEvent;
import org.hyssophitch.core.call.CallRequest;
import org.hyssophitch.core.call.Reason;
import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.timeline.EventBody.RequestAtStop;
import org.hyssophitch.wire.concurrent.WallClock;
import org.hyssophitch.wire.net.HttpReply;

/**
 * One request of a caller and its response. Not thread-safe; confined to one event loop, from the request's head to the
 * last byte of the response.
 */
final class CallerExchange {

    /** Size in bytes of unsent response content above which reading from the backend server is paused. */
    private static final int MAX_PENDING_BYTES = 131_072;

    private final CallerConnection connection;
    private final CallDispatcher dispatcher;
    private final HttpRequest request;
    private final String target;
    private final String requestId;
    private final long callId;
    private final long arrivedMicros = WallClock.nowMicros();
    private final RequestBody body;
    private final CallAttempts attempts = new CallAttempts();
    private final ResponseOutput output = new ResponseOutput();
    private RequestRules.Verdict.Accepted accepted;
    private BackendAttempt relayed;
    private int status;
    private boolean isDispatched;
    private boolean isAnswered;
    private boolean isAborted;
    private boolean hasCallerLeft;
    private boolean isOutputComplete;
    private boolean isEndWritten;

    CallerExchange(
            CallerConnection connection,
            CallDispatcher dispatcher,
            HttpRequest request,
            String target,
            String requestId) {
        this.connection = connection;
        this.dispatcher = dispatcher;
        this.request = request;
        this.target = target;
        this.requestId = requestId;
        this.callId = dispatcher.nextCallId();
        this.body = new RequestBody(dispatcher.uploadMemory());
    }

    long callId() {
        return callId;
    }

    HttpRequest request() {
        return request;
    }

    /** Returns the path and query of the request. */
    String target() {
        return target;
    }

    /** Returns the path and query to send to a backend server. */
    String serverTarget() {
        return accepted.target();
    }

    String requestId() {
        return requestId;
    }

    boolean isIdempotent() {
        return accepted.idempotent();
    }

    /** Returns the name of the caller's team; empty if it is unknown. */
    String team() {
        return accepted == null ? "" : accepted.team();
    }

    RequestBody body() {
        return body;
    }

    boolean isAnswered() {
        return isAnswered;
    }

    /** Returns whether the request announces a body. */
    boolean hasBody() {
        return HttpUtil.isTransferEncodingChunked(request) || HttpUtil.getContentLength(request, 0L) > 0;
    }

    /** Accepts the request as a call of a service. */
    void accept(RequestRules.Verdict.Accepted accepted) {
        this.accepted = accepted;
    }

    /** Returns whether the call was passed to the engine. */
    boolean isDispatched() {
        return isDispatched;
    }

    boolean isAccepted() {
        return accepted != null;
    }

    /** Asks the caller for the body, once earlier responses of the connection have left. */
    void sendContinue() {
        output.addContinue();
        connection.flushOutput();
    }

    /** Passes the call to the engine, or refuses it, once its body is complete or too large to be buffered. */
    void dispatchWhenReady() {
        if (isDispatched || isAnswered || accepted == null || !body.isComplete() && !body.exceedsReplayLimit()) {
            return;
        }
        String fingerprint = request.method().name() + ' ' + target + '#' + Long.toHexString(body.checksum());
        CallRequest call = accepted.callFactory().create(callId, body.isReplayable(), fingerprint, arrivedMicros);
        Optional<StopState> refusing = connection.stop().filter(x -> !x.takes(call));
        if (refusing.isPresent()) {
            refusing.get().refuse(this, call, connection.pending());
            return;
        }
        isDispatched = true;
        dispatcher.register(this);
        dispatcher.handle(new CallEvent.CallArrived(WallClock.nowMicros(), call));
    }

    void startAttempt(CallAction.StartAttempt action, BackendPools pools) {
        attempts.start(action.attempt(), new BackendAttempt(this, action, dispatcher), pools);
    }

    void cancelAttempt(int number) {
        attempts.cancel(number);
    }

    /** Ends an attempt that can't be started or whose request can't be written. */
    void failAttempt(int number) {
        attempts.fail(number);
    }

    void sendBody(BackendAttempt attempt) {
        if (body.isReplayable()) {
            body.replayTo(attempt);
        } else {
            body.streamTo(attempt);
            connection.resumeBody(this);
        }
    }

    void pauseBody() {
        connection.pauseBody(this);
    }

    void resumeBody() {
        connection.resumeBody(this);
    }

    void relay(int number) {
        relayed = attempts.get(number);
        isAnswered = true;
        relayed.relay();
    }

    /** Starts to relay a backend server's response. */
    void beginResponse(HttpResponse head, BackendServer server) {
        status = head.status().code();
        HttpResponse copy = RelayedResponseHead.of(head, HttpMethod.HEAD.equals(request.method()));
        dispatcher.headerConventions().prepareResponse(copy.headers(), requestId, server);
        output.addFinalHead(copy);
    }

    /** Relays a piece of a backend server's response, which leaves with the next {@link #flush}. */
    void relayContent(ByteBuf piece) {
        if (isAborted || hasCallerLeft) {
            piece.release();
            return;
        }
        output.addContent(piece);
        if (output.contentBytes() > MAX_PENDING_BYTES && !isWithheld()) {
            relayed.setAutoRead(false);
        }
    }

    /**
     * Returns whether a stopping host keeps the response from the caller until it is whole: once its head has left, an
     * end in the middle would cost the responses behind it too.
     */
    boolean isWithheld() {
        boolean isReplaceable = relayed != null && !isOutputComplete && output.isUnwritten();
        return isReplaceable
                && connection
                        .stop()
                        .filter(x -> x.withholds(this, connection.pending(), output.contentBytes()))
                        .isPresent();
    }

    /** Goes on receiving a response that is withheld now. */
    void resumeWithheld() {
        if (isWithheld()) {
            relayed.setAutoRead(true);
        }
    }

    /** Replaces a response that is withheld and incomplete by one that tells the caller of the host's end. */
    void endWithheld() {
        if (isWithheld()) {
            replaceResponse(Reason.HOST_STOPPED);
        }
    }

    private void replaceResponse(Reason reason) {
        discardOutput();
        relayed = null;
        isAnswered = false;
        reject(reason, 0, "");
    }

    /** Writes the available part of the response. */
    void flush() {
        connection.flushOutput();
    }

    /** Completes a relayed response. */
    void endResponse() {
        finish(Reason.ANSWERED);
    }

    /** Sends the final response that the load balancer itself generates, as the engine decided. */
    void refuse(Reason reason, long retryAfterMillis, String detail) {
        if (hasCallerLeft) {
            relayed = null;
            status = reason.status();
            finish(reason);
            return;
        }
        if (isAnswered) {
            return;
        }
        Refusal refusal = new Refusal(reason, retryAfterMillis, detail, requestId, target);
        DefaultHttpHeaders headers = new DefaultHttpHeaders();
        byte[] content = dispatcher.headerConventions().prepareRefusal(headers, refusal);
        status = dispatcher.headerConventions().status(reason);
        sendResponse(headers, content, reason);
    }

    /** Rejects a request that can't be processed, and tells the engine if it already has the call. */
    void reject(Reason reason, long retryAfterMillis, String detail) {
        boolean isKnownToEngine = isDispatched && !isAnswered;
        refuse(reason, retryAfterMillis, detail);
        if (isKnownToEngine) {
            dispatcher.handle(new CallEvent.CallerGone(WallClock.nowMicros(), callId));
        }
    }

    /** Sends a response of this process itself. */
    void reply(HttpReply reply) {
        status = reply.status();
        DefaultHttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.CONTENT_TYPE, reply.contentType());
        reply.headers().forEach(headers::set);
        sendResponse(headers, reply.body(), Reason.ANSWERED);
    }

    /** Resets the connection, because a response that has started can't be completed; replaces one that is withheld. */
    void abortResponse(Reason reason) {
        if (isWithheld()) {
            replaceResponse(reason);
        }
        if (isAborted || isOutputComplete) {
            return;
        }
        isAborted = true;
        connection.onAnswered(this, reason, status, WallClock.nowMicros() - arrivedMicros);
        dispatcher.unregister(this);
        connection.abort();
    }

    /**
     * Handles the loss of the caller's connection. The engine decides whether the call continues: a call with a ticket
     * may.
     */
    void onCallerGone() {
        discardOutput();
        if (!isDispatched || isOutputComplete || isAborted) {
            body.release();
            return;
        }
        hasCallerLeft = true;
        if (relayed != null) {
            relayed.setAutoRead(true);
        }
        dispatcher.handle(new CallEvent.CallerGone(WallClock.nowMicros(), callId));
    }

    /** Returns the next part of the response to write, or null if there is none yet. */
    HttpObject pollOutput() {
        if (output.isFinalHeadNext() && isWithheld()) {
            return null;
        }
        HttpObject part = output.poll();
        if (part != null && relayed != null && output.contentBytes() <= MAX_PENDING_BYTES / 2) {
            relayed.setAutoRead(true);
        }
        if (part != null) {
            return part;
        }
        if (isOutputComplete && !isEndWritten) {
            isEndWritten = true;
            return LastHttpContent.EMPTY_LAST_CONTENT;
        }
        return null;
    }

    boolean isOutputComplete() {
        return isEndWritten;
    }

    long arrivedMicros() {
        return arrivedMicros;
    }

    /** Returns the number of attempts that were started. */
    int attemptsStarted() {
        return attempts.started();
    }

    /** Returns how far a request without a wholly written response has come. */
    RequestAtStop.State progress() {
        if (isOutputComplete) {
            return RequestAtStop.State.ANSWER_WAITING;
        }
        if (relayed != null) {
            return RequestAtStop.State.RELAYING;
        }
        if (!isDispatched) {
            return RequestAtStop.State.RECEIVING;
        }
        return dispatcher.isAtServer(callId) ? RequestAtStop.State.AT_SERVER : RequestAtStop.State.WAITING_FOR_SERVER;
    }

    private void sendResponse(HttpHeaders headers, byte[] body, Reason reason) {
        isAnswered = true;
        output.addResponse(status, headers, body, HttpMethod.HEAD.equals(request.method()));
        finish(reason);
    }

    private void discardOutput() {
        output.discard();
        connection.stop().ifPresent(x -> x.release(this));
    }

    private void finish(Reason reason) {
        isOutputComplete = true;
        connection.stop().ifPresent(x -> x.release(this));
        body.release();
        attempts.cancelAllBut(relayed);
        dispatcher.unregister(this);
        connection.onAnswered(this, reason, status, WallClock.nowMicros() - arrivedMicros);
        if (hasCallerLeft) {
            discardOutput();
        } else {
            connection.flushOutput();
        }
    }
}
