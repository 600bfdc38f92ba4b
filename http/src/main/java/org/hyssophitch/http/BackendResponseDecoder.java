package org.hyssophitch.http;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import org.hyssophitch.wire.net.StrictResponseDecoder;

/**
 * Decodes the responses of a backend server, and tells what has arrived behind one. Not thread-safe; each connection
 * has its own.
 */
final class BackendResponseDecoder extends StrictResponseDecoder {

    /** Maximum size in bytes of a response head (status line and headers). */
    private static final int MAX_RESPONSE_HEAD_BYTES = 65_536;
    /** Maximum size in bytes of one decoded piece of a response body. */
    private static final int MAX_CHUNK_BYTES = 16_384;

    private final BackendConnection connection;
    private boolean hasBytesBehindEnd;

    BackendResponseDecoder(BackendConnection connection) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_RESPONSE_HEAD_BYTES)
                .setMaxHeaderSize(MAX_RESPONSE_HEAD_BYTES)
                .setMaxChunkSize(MAX_CHUNK_BYTES));
        this.connection = connection;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        hasBytesBehindEnd = connection.isEndHeld() && (hasBytesBehindEnd || in.isReadable());
        super.decode(context, in, out);
    }

    /** Returns whether bytes have arrived behind an answer whose end is held back. */
    boolean hasBytesBehindEnd() {
        return hasBytesBehindEnd;
    }

    /** Returns whether bytes of the current read are left behind what was decoded. */
    boolean hasSurplus() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected boolean isResponseToHead() {
        return connection.isHeadInFlight();
    }
}
