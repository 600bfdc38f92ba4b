package org.hyssophitch.http;

import java.util.Set;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import org.hyssophitch.core.call.BodyFraming;
import org.hyssophitch.core.call.EmbeddedHeadVerdict;

/** The body of an answer of a backend server: how it ends, and whether it holds the head of another answer. */
final class AnswerBody {

    /** Statuses whose responses have no body. */
    private static final Set<HttpResponseStatus> WITHOUT_BODY =
            Set.of(HttpResponseStatus.NO_CONTENT, HttpResponseStatus.NOT_MODIFIED);

    private final BodyFraming framing;
    private final boolean isConnectionKept;
    private final EmbeddedHeadScanner scanner;

    AnswerBody(HttpResponse head, BackendExchange exchange, RecentRequests requests) {
        framing = framing(head);
        isConnectionKept = HttpUtil.isKeepAlive(head);
        scanner = new EmbeddedHeadScanner(
                (h, isWhole) -> exchange.isEmbeddedResponse(h, isWhole, head, requests::mayContain));
    }

    BodyFraming framing() {
        return framing;
    }

    /** Returns whether the server keeps the connection open behind the answer, as it says. */
    boolean isConnectionKept() {
        return isConnectionKept;
    }

    /** Scans the next piece of the body. */
    void scan(HttpContent content) {
        scanner.scan(content.content());
    }

    /**
     * Returns whether the body holds the head of a second answer, if that can't be told from its length. In a body of
     * chunks it can stand where the server broke off a chunk that ends with a line of the second answer.
     *
     * @param hasEnded whether the whole body was scanned
     */
    boolean isRepeated(boolean hasEnded) {
        return switch (framing) {
            case LENGTH -> false;
            case CHUNKED -> hasEnded ? scanner.holdsHeaders() : scanner.holdsHead();
            case UNTIL_CLOSE -> hasEnded ? scanner.holdsHeadAtEnd() : scanner.holdsHead();
        };
    }

    /** Returns whether the body holds the beginning of a status line. */
    boolean hasStatusLine() {
        return scanner.hasStatusLine();
    }

    /**
     * Returns whether the length of a body that has ended proves nothing, since a second answer may have filled a part
     * of it.
     */
    boolean isEndDoubtful() {
        return framing == BodyFraming.LENGTH && scanner.mayHoldHead();
    }

    /** Returns the verdict on a body whose end is in doubt, by what the server has sent behind it. */
    EmbeddedHeadVerdict verdictBefore(HttpObject next, BackendExchange exchange) {
        if (next.decoderResult().isFailure()) {
            return EmbeddedHeadVerdict.REPEATED;
        }
        boolean isProof = next instanceof HttpResponse head && exchange.provesEnd(head);
        return isProof ? EmbeddedHeadVerdict.CONTENT : verdictWithoutProof();
    }

    /** Returns the verdict on a body whose end is in doubt, by what it holds itself. */
    EmbeddedHeadVerdict verdictWithoutProof() {
        return scanner.holdsHeadAtEnd() ? EmbeddedHeadVerdict.REPEATED : EmbeddedHeadVerdict.UNDECIDED;
    }

    /** Returns how a response that isn't to a HEAD request shows the end of its body. */
    static BodyFraming framing(HttpResponse head) {
        if (HttpUtil.isTransferEncodingChunked(head)) {
            return BodyFraming.CHUNKED;
        }
        boolean isLengthKnown = HttpUtil.isContentLengthSet(head) || WITHOUT_BODY.contains(head.status());
        return isLengthKnown ? BodyFraming.LENGTH : BodyFraming.UNTIL_CLOSE;
    }
}
