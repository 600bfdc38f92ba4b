package org.hyssophitch.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import org.hyssophitch.core.configuration.CallerLimits;

/**
 * Decoder of callers' requests that accepts one reading of a request's length only. Not thread-safe; one connection
 * owns it.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

    /** Size in bytes of the pieces in which a body is handed on. */
    private static final int CHUNK_BYTES = 16_384;

    /** Thrown for a request whose length is stated twice. */
    static final class AmbiguousLengthException extends IllegalArgumentException {
        private static final long serialVersionUID = 1L;

        AmbiguousLengthException() {
            super("a request states its length and chunks");
        }
    }

    StrictRequestDecoder(CallerLimits limits) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(limits.maxHeaderBytes())
                .setMaxHeaderSize(limits.maxHeaderBytes())
                .setMaxChunkSize(CHUNK_BYTES));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new AmbiguousLengthException();
    }
}
