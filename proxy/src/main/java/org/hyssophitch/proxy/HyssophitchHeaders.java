package org.hyssophitch.proxy;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.hyssophitch.core.call.AttemptResult.NotRunCause;
import org.hyssophitch.core.call.Reason;
import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.load.LoadReport;
import org.hyssophitch.core.statement.ServerStatement;
import org.hyssophitch.core.statement.StatementParser;
import org.hyssophitch.http.HeaderConventions;
import org.hyssophitch.http.OutgoingRequest;
import org.hyssophitch.http.Refusal;
import org.hyssophitch.http.TeamHeaders;
import org.hyssophitch.wire.report.CallHeaders;
import org.hyssophitch.wire.report.LoadHeaders;
import org.hyssophitch.wire.report.TimelineJson;

/** Header conventions of callers and backend servers that use the {@code Hyssophitch-} headers. Immutable. */
final class HyssophitchHeaders implements HeaderConventions {

    /**
     * Body of a response that the proxy itself generates. Immutable.
     *
     * @param outcome outcome of the call: completed, not run or unknown
     * @param reason why the request got this response
     * @param requestId id of the request
     * @param entryHost name of the entry host that generated the response
     * @param retryAfterMillis time in milliseconds after which to retry; 0 if a retry is of no use
     * @param detail status of an earlier response, entry host to use, or what is wrong with the request
     */
    record AnswerBody(
            String outcome, String reason, String requestId, String entryHost, long retryAfterMillis, String detail) {}

    private static final TeamHeaders TEAMS = new TeamHeaders(CallHeaders.API_KEY, CallHeaders.TEAM);
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final long MILLIS_PER_SECOND = 1_000;

    private final String entryHost;
    private final UnaryOperator<String> proxyAddressOf;

    /**
     * Creates the header conventions for the proxy of one entry host.
     *
     * @param entryHost name of the entry host
     * @param proxyAddressOf returns the address at which callers reach the proxy of an entry host
     */
    HyssophitchHeaders(String entryHost, UnaryOperator<String> proxyAddressOf) {
        this.entryHost = entryHost;
        this.proxyAddressOf = proxyAddressOf;
    }

    @Override
    public String requestId(HttpHeaders request) {
        String given = request.get(CallHeaders.REQUEST_ID);
        return given == null ? UUID.randomUUID().toString() : given;
    }

    /** Returns the API keys that a request carries. */
    static List<String> apiKeys(HttpHeaders request) {
        return TEAMS.keys(request);
    }

    @Override
    public void prepareRequest(HttpHeaders headers, OutgoingRequest request) {
        int depth = headers.getInt(CallHeaders.DEPTH, 0) + 1;
        headers.set(
                HttpHeaderNames.HOST,
                request.server().host() + ':' + request.server().port());
        headers.set(CallHeaders.REQUEST_ID, request.requestId());
        headers.set(CallHeaders.DEPTH, Integer.toString(depth));
        headers.set(CallHeaders.DEADLINE_MILLIS, Long.toString(Math.max(1, request.remainingMillis())));
        headers.set(CallHeaders.MAY_RETRY, Boolean.toString(request.mayRetryDownstream()));
        TEAMS.prepare(headers, request);
    }

    @Override
    public void prepareResponse(HttpHeaders headers, String requestId, BackendServer server) {
        addOutcome(headers, Reason.ANSWERED, requestId);
        headers.set(CallHeaders.SERVER, server.name());
    }

    @Override
    public boolean isFromServer(HttpHeaders response, BackendServer server) {
        return true;
    }

    /** Always true, because backend servers do not echo the request id. */
    @Override
    public boolean isResponseTo(HttpHeaders response, String requestId) {
        return true;
    }

    @Override
    public boolean hasRequestId(HttpHeaders response) {
        return false;
    }

    /** Goes by the headers of the response itself, as no id tells whose response the embedded ones are. */
    @Override
    public boolean isEmbeddedResponse(
            HttpHeaders embedded, boolean isWhole, HttpHeaders response, Predicate<String> wasRequested) {
        return isWhole
                && embedded.contains(LoadHeaders.IN_FLIGHT)
                && Set.copyOf(embedded.names()).equals(Set.copyOf(response.names()));
    }

    @Override
    public Optional<NotRunCause> notRunCause(int status, HttpHeaders response) {
        boolean isNotRun =
                status == SERVICE_UNAVAILABLE && CallHeaders.NOT_RUN.equals(response.get(CallHeaders.OUTCOME));
        if (!isNotRun) {
            return Optional.empty();
        }
        boolean isDraining = Boolean.parseBoolean(response.get(LoadHeaders.DRAINING));
        return Optional.of(isDraining ? NotRunCause.DRAINING : NotRunCause.SHED);
    }

    /** Always false, because callers rely on the outcome header and not on the status. */
    @Override
    public boolean impliesNotRun(int status) {
        return false;
    }

    @Override
    public Optional<LoadReport> loadReport(String server, int status, HttpHeaders response, long nowMicros) {
        return LoadHeaders.parse(server, response::get, nowMicros);
    }

    @Override
    public List<ServerStatement> statements(int status, HttpHeaders response) {
        Stream<ServerStatement> limits = response.getAll(LoadHeaders.LIMIT_PER_SECOND).stream()
                .map(v -> StatementParser.limit(LoadHeaders.LIMIT_PER_SECOND, v));
        Stream<ServerStatement> waits = status == SERVICE_UNAVAILABLE
                ? StatementParser.waits(response.getAll(HttpHeaderNames.RETRY_AFTER))
                : Stream.empty();
        return Stream.concat(limits, waits).toList();
    }

    @Override
    public byte[] prepareRefusal(HttpHeaders headers, Refusal refusal) {
        Reason reason = refusal.reason();
        addOutcome(headers, reason, refusal.requestId());
        if (reason == Reason.TICKET_ISSUED_ELSEWHERE) {
            headers.set(
                    HttpHeaderNames.LOCATION, "http://" + proxyAddressOf.apply(refusal.detail()) + refusal.target());
        }
        long millis = refusal.retryAfterMillis();
        if (millis > 0) {
            headers.set(HttpHeaderNames.RETRY_AFTER, Long.toString(Math.ceilDiv(millis, MILLIS_PER_SECOND)));
            headers.set(CallHeaders.RETRY_AFTER_MILLIS, Long.toString(millis));
        }
        headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        AnswerBody body = new AnswerBody(
                reason.outcome().wireName(),
                reason.wireName(),
                refusal.requestId(),
                entryHost,
                millis,
                refusal.detail());
        return TimelineJson.record(body).getBytes(StandardCharsets.UTF_8);
    }

    private void addOutcome(HttpHeaders headers, Reason reason, String requestId) {
        headers.set(CallHeaders.OUTCOME, reason.outcome().wireName());
        headers.set(CallHeaders.REASON, reason.wireName());
        headers.set(CallHeaders.REQUEST_ID, requestId);
        headers.set(CallHeaders.ENTRY_HOST, entryHost);
    }
}
