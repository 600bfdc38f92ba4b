package org.hyssophitch.http;

import java.util.Optional;

import org.hyssophitch.core.call.AnswerFault;
import org.hyssophitch.core.call.AnswerPart;
import org.hyssophitch.wire.net.MalformedResponseException;

/**
 * Reports the answers on one connection that are not taken as the whole answer to a request, one for each request at
 * most, with what the connection has carried. Not thread-safe; confined to one event loop.
 */
final class AnswerRejections {

    private final BackendPool pool;
    /** Id of the request in flight; empty without one. */
    private String requestId = "";

    private boolean isReported;
    private long receivedBytes;
    /** Number of requests that have ended. */
    private int earlierRequests;

    AnswerRejections(BackendPool pool) {
        this.pool = pool;
    }

    /** Records that a request begins; its id is empty for a load probe. */
    void onRequest(String id) {
        requestId = id;
        isReported = false;
        receivedBytes = 0;
    }

    /** Records that the request in flight has got its whole answer. */
    void onAnswered() {
        requestId = "";
        earlierRequests++;
    }

    /** Records that bytes arrived. */
    void onBytes(int count) {
        receivedBytes += count;
    }

    /** Returns the number of bytes that have arrived since the latest request began. */
    long receivedBytes() {
        return receivedBytes;
    }

    /** Reports that the current answer is not taken. */
    void report(AnswerFault fault) {
        report(fault, Optional.empty());
    }

    /** Reports that the current answer can't be decoded. */
    void reportMalformed(Throwable cause) {
        Optional<AnswerPart> part =
                cause instanceof MalformedResponseException e ? Optional.of(e.part()) : Optional.empty();
        report(AnswerFault.MALFORMED, part);
    }

    private void report(AnswerFault fault, Optional<AnswerPart> part) {
        if (!isReported) {
            isReported = true;
            pool.onAnswerRejected(requestId, fault, part, receivedBytes, earlierRequests);
        }
    }
}
