package org.hyssophitch.proxy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import io.javalin.http.Context;
import org.hyssophitch.core.call.CallAction;
import org.hyssophitch.core.call.Reason;
import org.hyssophitch.wire.report.CallHeaders;
import org.hyssophitch.wire.report.TimelineJson;
import org.tinylog.Logger;

/** Writes the answers that the system itself makes. Thread-safe. */
final class AnswerWriter {

    /**
     * Body of an answer that the system itself makes. Immutable.
     *
     * @param outcome what the caller may conclude
     * @param reason type of the reason
     * @param requestId name of the request
     * @param entryHost entry host that answers
     * @param retryAfterMillis when to come back in milliseconds; 0 when coming back is of no use
     * @param detail status of an earlier answer, entry host to use, or what is wrong with the request
     */
    record AnswerBody(
            String outcome, String reason, String requestId, String entryHost, long retryAfterMillis, String detail) {}

    private static final long MILLIS_PER_SECOND = 1_000;
    private static final long BUSY_RETRY_AFTER_MILLIS = 100;

    private final String entryHost;
    private final AgentLink agent;

    AnswerWriter(String entryHost, AgentLink agent) {
        this.entryHost = entryHost;
        this.agent = agent;
    }

    /** Adds the headers of a backend server's answer that is relayed. */
    void addOutcome(Context context, CallerRequest request, String server) {
        context.res().setHeader(CallHeaders.OUTCOME, Reason.ANSWERED.outcome().wireName());
        context.res().setHeader(CallHeaders.REASON, Reason.ANSWERED.wireName());
        context.res().setHeader(CallHeaders.REQUEST_ID, request.call().requestId());
        context.res().setHeader(CallHeaders.ENTRY_HOST, entryHost);
        context.res().setHeader(CallHeaders.SERVER, server);
    }

    /** Writes the engine's final answer. */
    void answer(Context context, CallerRequest request, CallAction.AnswerCaller a) {
        if (a.reason() == Reason.TICKET_ISSUED_ELSEWHERE) {
            String address = agent.proxyAddress(a.detail());
            String query = context.req().getQueryString();
            String target = context.req().getRequestURI() + (query == null ? "" : "?" + query);
            context.res().setHeader("Location", "http://" + address + target);
        }
        write(context, request.call().requestId(), a.reason(), a.retryAfterMillis(), a.detail());
    }

    /** Answers a call for which the decision ring has no room. */
    void busy(Context context, CallerRequest request) {
        write(context, request.call().requestId(), Reason.ENGINE_BUSY, BUSY_RETRY_AFTER_MILLIS, "");
    }

    /** Answers a request that can't be taken. */
    void refuse(Context context, Reason reason, String detail) {
        write(context, "", reason, 0, detail);
    }

    private void write(Context context, String requestId, Reason reason, long retryAfterMillis, String detail) {
        var out = context.res();
        out.setStatus(reason.status());
        out.setHeader(CallHeaders.OUTCOME, reason.outcome().wireName());
        out.setHeader(CallHeaders.REASON, reason.wireName());
        out.setHeader(CallHeaders.REQUEST_ID, requestId);
        out.setHeader(CallHeaders.ENTRY_HOST, entryHost);
        if (retryAfterMillis > 0) {
            long seconds = Math.ceilDiv(retryAfterMillis, MILLIS_PER_SECOND);
            out.setHeader("Retry-After", Long.toString(seconds));
            out.setHeader(CallHeaders.RETRY_AFTER_MILLIS, Long.toString(retryAfterMillis));
        }
        AnswerBody body = new AnswerBody(
                reason.outcome().wireName(), reason.wireName(), requestId, entryHost, retryAfterMillis, detail);
        byte[] bytes = TimelineJson.record(body).getBytes(StandardCharsets.UTF_8);
        out.setContentType("application/json");
        out.setContentLength(bytes.length);
        try {
            out.getOutputStream().write(bytes);
        } catch (IOException e) {
            Logger.debug("caller of {} was gone before its answer", requestId);
        }
    }
}
