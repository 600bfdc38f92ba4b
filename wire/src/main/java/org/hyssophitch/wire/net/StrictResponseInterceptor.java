package org.hyssophitch.wire.net;

import java.io.IOException;
import java.net.ProtocolException;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import okhttp3.Connection;
import okhttp3.Headers;
import okhttp3.Interceptor;
import okhttp3.MediaType;
import okhttp3.Response;
import okhttp3.ResponseBody;
import org.hyssophitch.core.call.AnswerPart;

/**
 * Network interceptor of OkHttp clients that fails a call whose response breaks the grammar of the protocol, and closes
 * its connection. OkHttp takes any three digits for a status, field names with blanks, and transfer codings that it
 * doesn't know. A body of chunks is read whole, as its trailers are checked too. OkHttp hides interim responses from
 * interceptors, so their heads aren't checked. Thread-safe.
 */
public final class StrictResponseInterceptor implements Interceptor {

    /** Thrown for a malformed response. As a protocol exception, it makes a client send no request again. */
    public static final class BrokenResponseException extends ProtocolException {
        private static final long serialVersionUID = 1L;

        BrokenResponseException(AnswerPart part) {
            super("malformed " + part);
        }
    }

    private static final String TRANSFER_ENCODING = "Transfer-Encoding";
    private static final String CONTENT_LENGTH = "Content-Length";

    private final BoundedWarning malformed = new BoundedWarning("dropped a malformed response");

    @Override
    public Response intercept(Chain chain) throws IOException {
        Response response = chain.proceed(chain.request());
        Optional<AnswerPart> brokenHead = brokenPart(response);
        if (brokenHead.isPresent()) {
            throw reject(response, chain.connection(), brokenHead.get());
        }
        return response.header(TRANSFER_ENCODING) == null ? response : readChunks(response, chain.connection());
    }

    /** Reads the chunks of a response up to its trailers, which are valid only as a whole. */
    private Response readChunks(Response response, Connection connection) throws IOException {
        MediaType type = response.body().contentType();
        byte[] content = response.body().bytes();
        if (brokenField(response.trailers()).isPresent()) {
            throw reject(response, connection, AnswerPart.TRAILER);
        }
        return response.newBuilder().body(ResponseBody.create(content, type)).build();
    }

    /** Closes the connection itself: that of a response whose body has ended would be used again. */
    private BrokenResponseException reject(Response response, Connection connection, AnswerPart part)
            throws IOException {
        malformed.add(response.request().url().host() + ": malformed " + part);
        connection.socket().close();
        response.close();
        return new BrokenResponseException(part);
    }

    private static Optional<AnswerPart> brokenPart(Response response) {
        if (!HttpGrammar.isStatus(response.code())) {
            return Optional.of(AnswerPart.STATUS);
        }
        if (!HttpGrammar.isText(response.message())) {
            return Optional.of(AnswerPart.REASON);
        }
        Headers headers = response.headers();
        return brokenField(headers).or(() -> brokenFraming(headers));
    }

    private static Optional<AnswerPart> brokenField(Headers fields) {
        if (!IntStream.range(0, fields.size()).mapToObj(fields::name).allMatch(HttpGrammar::isToken)) {
            return Optional.of(AnswerPart.FIELD_NAME);
        }
        boolean isText =
                IntStream.range(0, fields.size()).mapToObj(fields::value).allMatch(HttpGrammar::isText);
        return isText ? Optional.empty() : Optional.of(AnswerPart.FIELD);
    }

    private static Optional<AnswerPart> brokenFraming(Headers headers) {
        List<String> codings = headers.values(TRANSFER_ENCODING);
        List<String> lengths = headers.values(CONTENT_LENGTH);
        boolean isCodingValid = codings.isEmpty() || lengths.isEmpty() && HttpGrammar.isChunked(codings);
        boolean isLengthValid = lengths.isEmpty() || HttpGrammar.isLength(lengths);
        return isCodingValid && isLengthValid ? Optional.empty() : Optional.of(AnswerPart.FRAMING);
    }
}
