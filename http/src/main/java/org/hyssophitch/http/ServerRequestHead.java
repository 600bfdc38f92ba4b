package org.hyssophitch.http;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.hyssophitch.core.call.CallAction;

/** Head of the request that an attempt sends to its backend server. Stateless. */
final class ServerRequestHead {

    private ServerRequestHead() {}

    /**
     * Returns the head of a caller's request as the server of an attempt gets it.
     *
     * @param remainingMillis time in milliseconds until the deadline of the attempt
     */
    static HttpRequest of(
            CallerExchange exchange,
            CallAction.StartAttempt action,
            HeaderConventions conventions,
            long remainingMillis) {
        HttpRequest original = exchange.request();
        DefaultHttpRequest copy =
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, original.method(), exchange.serverTarget());
        HopByHopHeaders.copyEndToEnd(original.headers(), copy.headers());
        String length = original.headers().get(HttpHeaderNames.CONTENT_LENGTH);
        if (length != null) {
            copy.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
        } else {
            HttpUtil.setTransferEncodingChunked(copy, HttpUtil.isTransferEncodingChunked(original));
        }
        OutgoingRequest request = new OutgoingRequest(
                action.server(),
                exchange.requestId(),
                remainingMillis,
                action.mayRetryDownstream(),
                action.forwardedAttempts(),
                action.caller(),
                original.headers());
        conventions.prepareRequest(copy.headers(), request);
        return copy;
    }
}
