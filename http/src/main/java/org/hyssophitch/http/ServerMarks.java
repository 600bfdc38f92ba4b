package org.hyssophitch.http;

import java.util.List;
import java.util.function.Predicate;
import java.util.stream.Stream;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Headers by which a response is known to be a backend server's. Immutable.
 *
 * @param requestId header that names the request
 * @param signature header that each answer bears
 * @param refusal header of a response that says that the request was not run
 * @param others further headers of servers; each response has one of these, a signature or a refusal
 */
public record ServerMarks(String requestId, String signature, String refusal, List<String> others) {

    /** Returns whether a response has one value at most of each header that must have a single one. */
    boolean isWellFormed(HttpHeaders response) {
        Stream<CharSequence> single = Stream.of(requestId, signature, HttpHeaderNames.CONTENT_TYPE);
        return Stream.concat(single, others.stream())
                .allMatch(n -> response.getAll(n).size() <= 1);
    }

    /** Returns whether a response bears a mark of a backend server. */
    boolean isServerResponse(HttpHeaders response) {
        return Stream.concat(Stream.of(signature, refusal), others.stream()).anyMatch(response::contains);
    }

    /**
     * Returns whether headers that were found in the body of a response are those of another response of the server.
     *
     * @param isWhole false if the body ended before these headers did; the id is enough then, or what there is of it
     * @param response headers of the response that the body belongs to
     * @param wasRequested returns whether the connection has carried a request with an id
     */
    boolean isEmbeddedResponse(
            HttpHeaders embedded, boolean isWhole, HttpHeaders response, Predicate<String> wasRequested) {
        List<String> ids =
                embedded.getAll(requestId).stream().filter(s -> !s.isEmpty()).toList();
        if (ids.isEmpty()) {
            return embedded.getAll(signature).contains(response.get(signature));
        }
        boolean hasMark = embedded.contains(signature) || embedded.contains(refusal);
        if (isWhole || hasMark) {
            return hasMark && ids.stream().anyMatch(wasRequested);
        }
        String own = response.get(requestId, "");
        return ids.stream().anyMatch(i -> own.startsWith(i) || wasRequested.test(i));
    }
}
