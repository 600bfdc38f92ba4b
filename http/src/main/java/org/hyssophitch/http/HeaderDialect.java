package org.hyssophitch.http;

import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaders;
import org.hyssophitch.core.call.AttemptResult.NotRunCause;
import org.hyssophitch.core.call.Reason;
import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.load.LoadReport;

/**
 * Names and forms of the headers that a deployment's callers and backend servers use. Implementations are stateless.
 */
public interface HeaderDialect {

    /** Returns the name that the caller gave to its request; empty without one. */
    String requestId(HttpHeaders request);

    /** Sets the headers of a request to a backend server; they hold the caller's own already. */
    void prepareRequest(HttpHeaders headers, OutgoingRequest request);

    /**
     * Adds headers to a backend server's answer that is relayed.
     *
     * @param requestId name of the request
     */
    default void prepareResponse(HttpHeaders headers, String requestId, BackendServer server) {}

    /** Returns whether the answer to a question for the load comes from the server that was meant. */
    boolean isFromServer(HttpHeaders answer, BackendServer server);

    /** Returns whether an answer belongs to the request of the given name. */
    boolean isResponseTo(HttpHeaders answer, String requestId);

    /** Returns whether an answer carries the name of some request. */
    boolean hasRequestId(HttpHeaders answer);

    /** Returns the proof that an answer gives that its request was not run. */
    Optional<NotRunCause> notRunCause(int status, HttpHeaders answer);

    /** Returns whether a status tells the caller by itself that its request was not run. */
    boolean impliesNotRun(int status);

    /**
     * Returns the load that an answer tells.
     *
     * @param server name of the server that answered
     */
    Optional<LoadReport> loadReport(String server, int status, HttpHeaders answer, long nowMicros);

    /** Returns the status of an answer that the system itself makes. */
    default int status(Reason reason) {
        return reason.status();
    }

    /** Adds headers to an answer that the system itself makes, and returns its body. */
    byte[] prepareRefusal(HttpHeaders headers, Refusal refusal);
}
