package org.hyssophitch.wire.net;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Response decoder that fails on a status line that breaks the grammar of the protocol, and names the broken part: the
 * result of such a response is a failure with a {@link MalformedResponseException}. The base class takes any number for
 * a status, any version, and any byte in a reason phrase. Not thread-safe; each connection has its own.
 */
public class StrictResponseDecoder extends HttpResponseDecoder {

    private final StatusLineMatcher statusLine = new StatusLineMatcher();
    private final int maxStatusLineBytes;
    private boolean isStatusLineDue = true;
    /** Number of readable bytes that the matcher has seen. */
    private int matchedBytes;

    public StrictResponseDecoder(HttpDecoderConfig config) {
        super(config);
        maxStatusLineBytes = config.getMaxInitialLineLength();
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        if (isStatusLineDue && !takeStatusLine(in, out)) {
            return;
        }
        int decodedBefore = out.size();
        super.decode(context, in, out);
        for (int i = decodedBefore; i < out.size(); i++) {
            if (out.get(i) instanceof LastHttpContent) {
                onResponseEnd();
            }
        }
    }

    /** Returns whether the base class may decode the next bytes; reports those that begin no status line. */
    private boolean takeStatusLine(ByteBuf in, List<Object> out) {
        int unmatched = in.readableBytes() - matchedBytes;
        in.forEachByte(in.readerIndex() + matchedBytes, unmatched, statusLine);
        matchedBytes += unmatched;
        isStatusLineDue = statusLine.result() != StatusLineMatcher.Result.WHOLE;
        boolean isTooLong = isStatusLineDue && matchedBytes > maxStatusLineBytes;
        if (isTooLong || statusLine.result() == StatusLineMatcher.Result.BROKEN) {
            in.skipBytes(matchedBytes);
            matchedBytes = 0;
            out.add(invalidResponse());
        }
        return !isStatusLineDue;
    }

    private HttpObject invalidResponse() {
        HttpObject invalid = createInvalidMessage();
        invalid.setDecoderResult(DecoderResult.failure(new MalformedResponseException(statusLine.brokenPart())));
        return invalid;
    }

    private void onResponseEnd() {
        isStatusLineDue = true;
        matchedBytes = 0;
        statusLine.reset();
    }
}
