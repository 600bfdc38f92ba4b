package org.hyssophitch.http;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import io.netty.handler.codec.http.HttpHeaders;
import org.hyssophitch.core.call.AttemptResult.NotRunCause;
import org.hyssophitch.core.call.Reason;
import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.load.LoadReport;
import org.hyssophitch.core.statement.ServerStatement;

/**
 * Header conventions of a deployment: the names and formats of the headers that its callers and backend servers use.
 * Implementations are stateless.
 */
public interface HeaderConventions {

    /** Returns the id of a request; may be empty if the caller sent none. */
    String requestId(HttpHeaders request);

    /**
     * Adds headers to a request to a backend server or another entry host; the caller's end-to-end headers are already
     * present.
     */
    void prepareRequest(HttpHeaders headers, OutgoingRequest request);

    /**
     * Adds headers to a response that is relayed from a backend server.
     *
     * @param requestId id of the request
     */
    default void prepareResponse(HttpHeaders headers, String requestId, BackendServer server) {}

    /** Returns whether the response to a load probe comes from the intended server instance. */
    boolean isFromServer(HttpHeaders response, BackendServer server);

    /** Returns whether a response belongs to the request with the given id. */
    boolean isResponseTo(HttpHeaders response, String requestId);

    /**
     * Returns whether a response of another entry host belongs to the request with the given id; its own refusals carry
     * none.
     */
    default boolean isForwardResponseTo(HttpHeaders response, String requestId) {
        return !hasRequestId(response) || isResponseTo(response, requestId);
    }

    /** Returns the headers by which all responses of backend servers are known; empty if there are none. */
    default Optional<ServerMarks> serverMarks() {
        return Optional.empty();
    }

    /** Returns whether a response has no more than one value of each header that must have a single one. */
    default boolean isWellFormed(HttpHeaders response) {
        return serverMarks().map(m -> m.isWellFormed(response)).orElse(true);
    }

    /** Returns whether a response carries a request id. */
    boolean hasRequestId(HttpHeaders response);

    /**
     * Returns whether headers that were found in the body of a response are those of another response of the server:
     * to the same request, or to one that its connection has carried before.
     *
     * @param isWhole false if the body ended before these headers did
     * @param response headers of the response that the body belongs to
     * @param wasRequested returns whether the connection has carried a request with an id
     */
    default boolean isEmbeddedResponse(
            HttpHeaders embedded, boolean isWhole, HttpHeaders response, Predicate<String> wasRequested) {
        return serverMarks()
                .filter(m -> m.isEmbeddedResponse(embedded, isWhole, response, wasRequested))
                .isPresent();
    }

    /** Returns whether a response bears the marks of a backend server, if all of its responses do. */
    default boolean isServerResponse(HttpHeaders response) {
        return serverMarks().map(m -> m.isServerResponse(response)).orElse(true);
    }

    /** Returns whether a response refuses a request without the id that tells which one. */
    default boolean isUnidentifiedRefusal(int status, HttpHeaders response) {
        return false;
    }

    /** Returns why the request was not run if the response proves that it was not; otherwise empty. */
    Optional<NotRunCause> notRunCause(int status, HttpHeaders response);

    /** Returns why another host may be tried, if the entry host that a request was forwarded to couldn't handle it. */
    default Optional<NotRunCause> forwardNotRunCause(int status) {
        return status == Reason.FORWARD_REFUSED.status() ? Optional.of(NotRunCause.SHED) : Optional.empty();
    }

    /** Returns whether the status alone tells the caller that its request was not run. */
    boolean impliesNotRun(int status);

    /**
     * Returns the load report that a response carries, if any.
     *
     * @param server name of the server that answered
     */
    Optional<LoadReport> loadReport(String server, int status, HttpHeaders response, long nowMicros);

    /** Returns what a backend server states about itself in a response; empty when it states nothing. */
    default List<ServerStatement> statements(int status, HttpHeaders response) {
        return List.of();
    }

    /** Returns the HTTP status of a response that the load balancer itself generates. */
    default int status(Reason reason) {
        return reason.status();
    }

    /** Adds headers to a response that the load balancer itself generates, and returns its body. */
    byte[] prepareRefusal(HttpHeaders headers, Refusal refusal);
}
