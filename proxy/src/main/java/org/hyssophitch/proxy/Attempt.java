package org.hyssophitch.proxy;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Set;

import io.javalin.http.Context;
import okhttp3.Call;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okhttp3.internal.http.HttpMethod;
import okio.BufferedSink;
import okio.Okio;
import org.hyssophitch.core.call.AttemptResult;
import org.hyssophitch.core.call.AttemptResult.LostCause;
import org.hyssophitch.core.call.AttemptResult.NotRunCause;
import org.hyssophitch.core.call.CallAction;
import org.hyssophitch.core.call.CallEvent;
import org.hyssophitch.core.load.LoadReport;
import org.hyssophitch.wire.duty.WallClock;
import org.hyssophitch.wire.report.CallHeaders;
import org.hyssophitch.wire.report.LoadHeaders;

/**
 * One attempt at one backend server. Runs on a thread of its own until the answer's headers are there; the answer's
 * body is read by the {@link Exchange}.
 */
final class Attempt implements Runnable {

    private static final int SERVICE_UNAVAILABLE = 503;
    private static final long MICROS_PER_MILLI = 1_000;
    private static final Set<String> NOT_FORWARDED = Set.of(
            "host",
            "connection",
            "keep-alive",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "proxy-authorization",
            "accept-encoding");

    private final Context context;
    private final CallerRequest request;
    private final CallAction.StartAttempt start;
    private final CallDecisions decisions;
    private final AttemptProgress progress = new AttemptProgress();
    private final Call call;
    private volatile Response response;

    Attempt(
            Context context,
            CallerRequest request,
            CallAction.StartAttempt start,
            CallDecisions decisions,
            BackendClient client) {
        this.context = context;
        this.request = request;
        this.start = start;
        this.decisions = decisions;
        this.call = client.call(httpRequest(), request.call().idempotent(), start.stallMillis(), progress);
    }

    String serverName() {
        return start.server().name();
    }

    /** Returns the answer; its body has not been read. */
    Response response() {
        return response;
    }

    void cancel() {
        call.cancel();
        Response r = response;
        if (r != null) {
            r.close();
        }
    }

    @Override
    public void run() {
        try {
            response = call.execute();
        } catch (IOException e) {
            end(classify(e));
            return;
        }
        reportLoad();
        if (isStatedNotRun()) {
            boolean isDraining = Boolean.parseBoolean(response.header(LoadHeaders.DRAINING));
            response.close();
            end(new AttemptResult.NotRun(isDraining ? NotRunCause.DRAINING : NotRunCause.SHED));
            return;
        }
        decisions.put(
                new CallEvent.AnswerStarted(WallClock.nowMicros(), start.callId(), start.attempt(), response.code()));
    }

    private AttemptResult classify(IOException e) {
        if (!progress.isRequestBegun()) {
            return new AttemptResult.NotRun(NotRunCause.CONNECT_FAILED);
        }
        boolean isStall = e instanceof SocketTimeoutException;
        return new AttemptResult.Lost(isStall ? LostCause.STALLED : LostCause.CONNECTION_LOST);
    }

    private boolean isStatedNotRun() {
        return response.code() == SERVICE_UNAVAILABLE
                && CallHeaders.NOT_RUN.equals(response.header(CallHeaders.OUTCOME));
    }

    private void reportLoad() {
        long now = WallClock.nowMicros();
        LoadHeaders.parse(serverName(), response::header, now)
                .ifPresent((LoadReport r) -> decisions.put(new CallEvent.ReportsReceived(now, List.of(r))));
    }

    private void end(AttemptResult result) {
        decisions.put(new CallEvent.AttemptEnded(WallClock.nowMicros(), start.callId(), start.attempt(), result));
    }

    private Request httpRequest() {
        String url = "http://" + start.server().host() + ":" + start.server().port() + request.target();
        Request.Builder builder = new Request.Builder().url(url).method(request.method(), body());
        Collections.list(context.req().getHeaderNames()).stream()
                .filter(n -> !NOT_FORWARDED.contains(n.toLowerCase(Locale.ROOT)))
                .forEach(n -> Collections.list(context.req().getHeaders(n)).forEach(v -> builder.addHeader(n, v)));
        String encoding = context.header("Accept-Encoding");
        long remaining = Math.max(1, (start.deadlineMicros() - WallClock.nowMicros()) / MICROS_PER_MILLI);
        return builder.header("Accept-Encoding", encoding == null ? "identity" : encoding)
                .header(CallHeaders.REQUEST_ID, request.call().requestId())
                .header(CallHeaders.DEADLINE_MILLIS, Long.toString(remaining))
                .header(CallHeaders.DEPTH, Integer.toString(request.call().depth() + 1))
                .header(CallHeaders.MAY_RETRY, Boolean.toString(start.mayRetryBelow()))
                .build();
    }

    private RequestBody body() {
        if (request.hasStreamedBody()) {
            return new StreamedBody(context);
        }
        byte[] bytes = request.body();
        boolean needsBody = HttpMethod.requiresRequestBody(request.method());
        return bytes == null && !needsBody ? null : RequestBody.create(bytes == null ? new byte[0] : bytes, null);
    }

    /** Body of a large request, read from the caller's connection once. */
    private static final class StreamedBody extends RequestBody {
        private final Context context;

        private StreamedBody(Context context) {
            this.context = context;
        }

        @Override
        public MediaType contentType() {
            return null;
        }

        @Override
        public long contentLength() {
            return context.req().getContentLengthLong();
        }

        @Override
        public boolean isOneShot() {
            return true;
        }

        @Override
        public void writeTo(BufferedSink sink) throws IOException {
            sink.writeAll(Okio.source(context.req().getInputStream()));
        }
    }
}
