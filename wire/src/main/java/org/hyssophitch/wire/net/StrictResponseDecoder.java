package org.hyssophitch.wire.net;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import org.hyssophitch.core.call.AnswerPart;

/**
 * Response decoder that fails on a response that breaks the grammar of the protocol, and names the broken part: the
 * result of such a response is a failure with a {@link MalformedResponseException}. The base class takes many of them:
 * any number for a status, a field name up to its first blank, a transfer coding that it doesn't know. Not thread-safe;
 * each connection has its own.
 */
public class StrictResponseDecoder extends HttpResponseDecoder {

    private final StatusLineMatcher statusLine = new StatusLineMatcher();
    private final int maxStatusLineBytes;
    private boolean isStatusLineDue = true;
    private boolean isHeadDue = true;
    /** Number of readable bytes that the matcher has seen. */
    private int matchedBytes;

    /** Creates a decoder for one connection with the limits of a configuration. */
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
            if (out.get(i) instanceof HttpObject part) {
                onDecoded(part);
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
        fail(invalid, new MalformedResponseException(statusLine.brokenPart()));
        return invalid;
    }

    private void onDecoded(HttpObject part) {
        if (part.decoderResult().isFailure()) {
            nameBrokenPart(part);
        } else if (part instanceof HttpResponse) {
            isHeadDue = false;
        }
        if (part instanceof LastHttpContent) {
            isStatusLineDue = true;
            isHeadDue = true;
            matchedBytes = 0;
            statusLine.reset();
        }
    }

    private void nameBrokenPart(HttpObject part) {
        Throwable cause = part.decoderResult().cause();
        if (!(cause instanceof MalformedResponseException)) {
            AnswerPart broken = isHeadDue ? AnswerPart.FIELD : AnswerPart.BODY;
            fail(part, new MalformedResponseException(broken, cause));
        }
    }

    private static void fail(HttpObject part, MalformedResponseException failure) {
        part.setDecoderResult(DecoderResult.failure(failure));
    }

    /** Called by the base class with a whole head, from which it then removes fields that don't count. */
    @Override
    protected final boolean isContentAlwaysEmpty(HttpMessage head) {
        checkFraming(head.headers());
        return isResponseToHead() || super.isContentAlwaysEmpty(head);
    }

    /** Returns whether the next response is to a HEAD request, and so has no body. */
    protected boolean isResponseToHead() {
        return false;
    }

    private static void checkFraming(HttpHeaders head) {
        if (!head.contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            return;
        }
        boolean isChunked = HttpGrammar.isChunked(head.getAll(HttpHeaderNames.TRANSFER_ENCODING));
        if (!isChunked || head.contains(HttpHeaderNames.CONTENT_LENGTH)) {
            throw new MalformedResponseException(AnswerPart.FRAMING);
        }
    }

    /** The base class ends a name at its first blank, so the byte behind it is looked at. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        int end = start + length;
        boolean isName = HttpGrammar.isToken(line, start, length) && end < line.length && line[end] == ':';
        if (!isName) {
            throw new MalformedResponseException(isHeadDue ? AnswerPart.FIELD_NAME : AnswerPart.TRAILER);
        }
        return super.splitHeaderName(line, start, length);
    }
}
