package org.hyssophitch.http;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import org.hyssophitch.core.configuration.CallerLimits;

/**
 * Request decoder that rejects requests whose head or body length could be interpreted in more than one way. Not
 * thread-safe; each connection has its own.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

    /** Maximum size in bytes of one decoded piece of a request body. */
    private static final int MAX_CHUNK_BYTES = 16_384;

    /** Thrown for a request with both {@code Content-Length} and {@code Transfer-Encoding: chunked}. */
    static final class AmbiguousLengthException extends IllegalArgumentException {
        private static final long serialVersionUID = 1L;

        AmbiguousLengthException() {
            super("request has both Content-Length and Transfer-Encoding: chunked");
        }
    }

    /** Thrown for a header folded over several lines, which recipients interpret differently (RFC 9112, 5.2). */
    static final class FoldedHeaderException extends IllegalArgumentException {
        private static final long serialVersionUID = 1L;

        FoldedHeaderException() {
            super("header is folded over several lines");
        }
    }

    private boolean isInHead = true;
    private boolean isLineStart;
    private boolean hasFoldedHeader;

    StrictRequestDecoder(CallerLimits limits) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(limits.maxHeaderBytes())
                .setMaxHeaderSize(limits.maxHeaderBytes())
                .setMaxChunkSize(MAX_CHUNK_BYTES));
    }

    /** The base decoder silently joins folded lines, so they are detected here in the bytes it consumed for a head. */
    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> out) throws Exception {
        int from = bytes.readerIndex();
        int decodedBefore = out.size();
        super.decode(context, bytes, out);
        if (isInHead) {
            detectFoldedHeader(bytes, from);
        }
        out.subList(decodedBefore, out.size()).forEach(this::onDecoded);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new AmbiguousLengthException();
    }

    private void detectFoldedHeader(ByteBuf bytes, int from) {
        for (int i = from; i < bytes.readerIndex(); i++) {
            byte b = bytes.getByte(i);
            hasFoldedHeader |= isLineStart && (b == ' ' || b == '\t');
            isLineStart = b == '\n';
        }
    }

    private void onDecoded(Object part) {
        if (part instanceof HttpMessage message) {
            if (hasFoldedHeader) {
                message.setDecoderResult(DecoderResult.failure(new FoldedHeaderException()));
            }
            isInHead = false;
        }
        if (part instanceof LastHttpContent) {
            isInHead = true;
            isLineStart = false;
            hasFoldedHeader = false;
        }
    }
}
