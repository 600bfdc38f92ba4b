package org.hyssophitch.http;

import java.util.ArrayDeque;
import java.util.Deque;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;

/** Part of the output to a caller's request that isn't written yet. Not thread-safe; confined to one event loop. */
final class ResponseOutput {

    /** Heads of responses that aren't written yet: interim ones, and the final one. */
    private final Deque<HttpResponse> heads = new ArrayDeque<>();

    private final BodyBuffer content = new BodyBuffer();
    private HttpResponse finalHead;

    /** Adds the interim response that asks for the body of the request. */
    void addContinue() {
        heads.add(
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }

    /**
     * Adds a whole response of this process itself.
     *
     * @param isToHead whether the request is a HEAD request
     */
    void addResponse(int status, HttpHeaders headers, byte[] body, boolean isToHead) {
        headers.set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        addFinalHead(new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers));
        if (!isToHead) {
            addContent(Unpooled.wrappedBuffer(body));
        }
    }

    void addFinalHead(HttpResponse head) {
        finalHead = head;
        heads.add(head);
    }

    /** Adds a piece of the content and takes ownership of it. */
    void addContent(ByteBuf piece) {
        content.add(piece);
    }

    /** Removes and returns the next part; null if there is none. */
    HttpObject poll() {
        HttpResponse head = heads.poll();
        if (head != null) {
            return head;
        }
        ByteBuf block = content.poll();
        return block == null ? null : new DefaultHttpContent(block);
    }

    /** Returns the size in bytes of the unwritten content. */
    int contentBytes() {
        return content.size();
    }

    /** Returns whether the final response has begun and nothing of it is written, so that it could be replaced. */
    boolean isUnwritten() {
        return finalHead != null && heads.peekLast() == finalHead;
    }

    /** Returns whether the next part to write is the head of the final response. */
    boolean isFinalHeadNext() {
        return finalHead != null && heads.peek() == finalHead;
    }

    void discard() {
        heads.forEach(ReferenceCountUtil::release);
        heads.clear();
        content.clear();
    }
}
