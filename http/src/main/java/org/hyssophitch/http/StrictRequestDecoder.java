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
 * Decoder of callers' requests that accepts one reading of a request's head and length only. Not thread-safe; one
 * connection owns it.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

    /** Size in bytes of the pieces in which a body is handed on. */
    private static final int MAX_CHUNK_BYTES = 16_384;

    /** Thrown for a request whose length is stated twice. */
    static final class AmbiguousLengthException extends IllegalArgumentException {
        private static final long serialVersionUID = 1L;

        AmbiguousLengthException() {
            super("a request states its length and chunks");
        }
    }

    /** A header that goes on in the next line, which recipients read in different ways (RFC 9112, 5.2). */
    static final class FoldedHeaderException extends IllegalArgumentException {
        private static final long serialVersionUID = 1L;

        FoldedHeaderException() {
            super("a header is folded over two lines");
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

    /** The decoder joins folded lines, so the bytes that it takes for a head are looked at here. */
    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> out) throws Exception {
        int from = bytes.readerIndex();
        int known = out.size();
        super.decode(context, bytes, out);
        if (isInHead) {
            detectFoldedHeader(bytes, from);
        }
        out.subList(known, out.size()).forEach(this::onDecoded);
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
