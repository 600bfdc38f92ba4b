package org.hyssophitch.http;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;

/** One request and its answer on a connection to a backend server. All calls come on the event loop. */
interface BackendExchange {

    /** Returns whether an answer belongs to this use; another one is discarded. */
    boolean isExpectedResponse(HttpResponse head);

    /** The connection is open: the request has to be written now. */
    void onConnected(BackendConnection connection);

    /** No connection could be opened, so nothing was sent. */
    void onConnectFailed();

    /** The answer's head arrived. */
    void onResponseHead(HttpResponse head);

    /** A piece of the answer's body arrived; the use releases it. */
    void onContent(HttpContent content);

    /** The whole answer is there. */
    void onComplete();

    /**
     * The connection ended before the whole answer.
     *
     * @param hasHead whether the answer had begun
     */
    void onBroken(boolean hasHead);

    /** The connection takes more bytes of the request. */
    void onWritable();
}
