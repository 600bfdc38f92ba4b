package org.hyssophitch.http;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/** Head of a backend server's response as its caller gets it. Stateless. */
final class RelayedResponseHead {

    private RelayedResponseHead() {}

    /**
     * Returns the head with its end-to-end headers and the framing of its body.
     *
     * @param isToHead whether the request is a HEAD request
     */
    static HttpResponse of(HttpResponse head, boolean isToHead) {
        DefaultHttpResponse copy = new DefaultHttpResponse(HttpVersion.HTTP_1_1, head.status());
        HopByHopHeaders.copyEndToEnd(head.headers(), copy.headers());
        String length = head.headers().get(HttpHeaderNames.CONTENT_LENGTH);
        if (length != null && !HttpUtil.isTransferEncodingChunked(head)) {
            copy.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
        } else if (!isToHead && head.status().code() != HttpResponseStatus.NO_CONTENT.code()) {
            HttpUtil.setTransferEncodingChunked(copy, true);
        }
        return copy;
    }
}
