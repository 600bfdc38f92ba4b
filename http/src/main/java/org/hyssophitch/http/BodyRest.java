package org.hyssophitch.http;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;

/** What a caller still has to send of the body of a request that is answered already. Stateless. */
final class BodyRest {

    /** Maximum size in bytes of a rest that is read and discarded, so that the connection can be kept. */
    private static final long MAX_DISCARDED_BYTES = 262_144;

    private BodyRest() {}

    /**
     * Returns whether the rest is known to be small. A caller that expects to be asked for the body may send none of it
     * after a final response, so that nothing tells where its next request begins.
     */
    static boolean isSmall(CallerExchange exchange) {
        HttpRequest request = exchange.request();
        boolean isKnown = !HttpUtil.isTransferEncodingChunked(request) && !HttpUtil.is100ContinueExpected(request);
        long length = HttpUtil.getContentLength(request, 0L);
        return isKnown && length - exchange.body().size() <= MAX_DISCARDED_BYTES;
    }
}
