package org.hyssophitch.http;

import java.util.Arrays;
import java.util.Optional;

import io.netty.handler.codec.http.HttpResponseStatus;
import org.hyssophitch.core.call.AnswerFault;

/** What a connection has carried: its latest requests, by the hash codes of their ids. Not thread-safe. */
final class RecentRequests {

    /** Bounds the memory of a connection; a call makes its attempts while a connection carries far fewer requests. */
    private static final int CAPACITY = 128;

    private final int[] hashes = new int[CAPACITY];
    private int count;
    private boolean hasHeadRequest;
    private boolean hasForeignResponse;
    private boolean hasProbe;
    private boolean isProbeInFlight;

    /** Adds a request; an empty id is left out. */
    void add(BackendExchange request) {
        String requestId = request.requestId();
        hasHeadRequest |= request.isHead();
        isProbeInFlight = requestId.isEmpty();
        hasProbe |= isProbeInFlight;
        if (!isProbeInFlight) {
            hashes[count % CAPACITY] = requestId.hashCode();
            count++;
        }
    }

    /** Records that a response to another request has arrived than to the one in flight. */
    void onForeignResponse() {
        hasForeignResponse = true;
    }

    /** Returns whether there was a HEAD request, whose late answer the decoder reads as one with a body. */
    boolean hasHeadRequest() {
        return hasHeadRequest;
    }

    /** Returns why a response is not taken for an answer to the request in flight, or empty if it is one. */
    Optional<AnswerFault> fault(ResponseMatch match, HttpResponseStatus status) {
        return switch (match) {
            case ANSWER, REFUSAL -> Optional.empty();
            case UNIDENTIFIED_REFUSAL ->
                Optional.of(AnswerFault.UNTRUSTED_REFUSAL).filter(f -> mayHaveLateAnswer(status));
            case FOREIGN -> Optional.of(AnswerFault.FOREIGN);
            case MALFORMED -> Optional.of(AnswerFault.MALFORMED);
        };
    }

    /**
     * Returns whether a refusal without an id may be a second answer to an earlier request, or to a load probe that was
     * accepted at first. A server that has accepted a probe doesn't find itself misdirected by the same probe. To a
     * probe, a second response to the probe before is as good as its own.
     */
    private boolean mayHaveLateAnswer(HttpResponseStatus refusal) {
        boolean mayAnswerProbe = !HttpResponseStatus.MISDIRECTED_REQUEST.equals(refusal);
        boolean isBehindProbe = hasProbe && !isProbeInFlight && mayAnswerProbe;
        return count > 1 || hasForeignResponse || isBehindProbe;
    }

    /** Returns whether a request may be among the latest ones; true also for another id with the same hash code. */
    boolean mayContain(String requestId) {
        int hash = requestId.hashCode();
        return !requestId.isEmpty()
                && Arrays.stream(hashes, 0, Math.min(count, CAPACITY)).anyMatch(h -> h == hash);
    }
}
