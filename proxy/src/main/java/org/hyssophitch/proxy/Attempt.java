package org.hyssophitch.proxy;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.List;

import okhttp3.Call;
import okhttp3.HttpUrl;
import okhttp3.Request;
import okhttp3.Response;
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
    private final CallerRequest request;
    private final Request template;
    private final CallAction.StartAttempt start;
    private final CallDecisions decisions;
    private final AttemptProgress progress = new AttemptProgress();
    private final BackendClient client;
    private volatile Call call;
    private volatile boolean isCancelled;
    private volatile Response response;

    Attempt(
            CallerRequest request,
            Request template,
            CallAction.StartAttempt start,
            CallDecisions decisions,
            BackendClient client) {
        this.request = request;
        this.template = template;
        this.start = start;
        this.decisions = decisions;
        this.client = client;
    }

    String serverName() {
        return start.server().name();
    }

    /** Returns the answer; its body has not been read. */
    Response response() {
        return response;
    }

    void cancel() {
        isCancelled = true;
        Call c = call;
        if (c != null) {
            c.cancel();
        }
        Response r = response;
        if (r != null) {
            r.close();
        }
    }

    @Override
    public void run() {
        try {
            call = client.call(httpRequest(), request.call().idempotent(), start.stallMillis(), progress);
            if (isCancelled) {
                return;
            }
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
        HttpUrl url = template.url()
                .newBuilder()
                .host(start.server().host())
                .port(start.server().port())
                .build();
        long remaining = Math.max(1, (start.deadlineMicros() - WallClock.nowMicros()) / MICROS_PER_MILLI);
        return template.newBuilder()
                .url(url)
                .header(CallHeaders.DEADLINE_MILLIS, Long.toString(remaining))
                .header(CallHeaders.MAY_RETRY, Boolean.toString(start.mayRetryBelow()))
                .build();
    }
}
