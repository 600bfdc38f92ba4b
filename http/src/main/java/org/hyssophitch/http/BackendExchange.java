package org.hyssophitch.http;

import java.util.Optional;
import java.util.function.Predicate;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/**
 * One request and its response on a connection to a backend server. All methods are called on the event loop of the
 * connection.
 */
interface BackendExchange {

    /** Returns the id of the request; empty without one. */
    String requestId();

    /** Returns whether the method is HEAD, whose responses have no body. */
    boolean isHead();

    /** Returns whether a response belongs to this exchange; other responses are discarded. */
    ResponseMatch match(HttpResponse head);

    /**
     * Returns whether headers that were found in the body of the response are those of another response of the server.
     *
     * @param isWhole false if the body ended before these headers did
     * @param response head of the response that the body belongs to
     * @param wasRequested returns whether the connection has carried a request with an id
     */
    default boolean isEmbeddedResponse(
            HttpHeaders embedded, boolean isWhole, HttpResponse response, Predicate<String> wasRequested) {
        return false;
    }

    /**
     * Returns a request that has no effect, and that the server may be sent behind this one to learn where its response
     * to this one ends; empty if that needs no confirmation.
     */
    default Optional<HttpRequest> confirmationRequest() {
        return Optional.empty();
    }

    /** Returns whether a response that follows the answer in doubt proves that the answer ended before it. */
    default boolean provesEnd(HttpResponse next) {
        return true;
    }

    /**
     * Called when the end of the response is held back until its connection has shown whether the response ends there.
     *
     * @return maximum time in milliseconds for which it is held back
     */
    default long onEndHeld() {
        return 0;
    }

    /** Called when the connection is available; the request must be written before this method returns. */
    void onConnected(BackendConnection connection);

    /** Called when no connection could be opened; nothing was sent. */
    void onConnectFailed();

    /** Called when the response head was received. */
    void onResponseHead(HttpResponse head);

    /** Called with a piece of the response body, which the exchange must release. */
    void onContent(HttpContent content);

    /** Called when all bytes that one read has returned were handled. */
    default void onReadComplete() {}

    /** Called when the complete response was received. */
    void onComplete();

    /**
     * Called when the connection was closed before the response was complete.
     *
     * @param hasHead whether the response head was received, or so much else that the connection was closed
     */
    void onConnectionLost(boolean hasHead);

    /** Called when the connection accepts more bytes of the request. */
    void onWritable();
}
