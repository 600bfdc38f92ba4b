package org.hyssophitch.proxy;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.BooleanSupplier;

import io.javalin.http.Context;
import okhttp3.Request;
import okhttp3.Response;
import org.eclipse.jetty.ee10.servlet.ServletContextRequest;
import org.hyssophitch.core.UnknownCaseException;
import org.hyssophitch.core.call.AttemptResult;
import org.hyssophitch.core.call.AttemptResult.LostCause;
import org.hyssophitch.core.call.CallAction;
import org.hyssophitch.core.call.CallEvent;
import org.hyssophitch.wire.duty.WallClock;

/**
 * One call between a caller's connection and its attempts. Runs on the thread of the caller's request until the final
 * answer; attempts are started on the engine's thread and run on threads of their own.
 */
final class Exchange {

    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade");
    private static final int COPY_BYTES = 16_384;
    private static final String CONTENT_LENGTH = "content-length";

    private final Context context;
    private final CallerRequest request;
    private final Request template;
    private final CallDecisions decisions;
    private final BackendClient client;
    private final AnswerWriter answers;
    private final BooleanSupplier isStopping;
    private final BlockingQueue<CallAction> actions = new LinkedBlockingQueue<>();
    private final Map<Integer, Attempt> attempts = new ConcurrentHashMap<>();

    /**
     * Prepares a call.
     *
     * @throws IllegalArgumentException when the caller's path or headers can't be sent on
     */
    Exchange(
            Context context,
            CallerRequest request,
            CallDecisions decisions,
            BackendClient client,
            AnswerWriter answers,
            BooleanSupplier isStopping) {
        this.context = context;
        this.request = request;
        this.template = RequestTemplate.of(context, request);
        this.decisions = decisions;
        this.client = client;
        this.answers = answers;
        this.isStopping = isStopping;
    }

    /** Carries the call to its final answer. */
    void run() throws InterruptedException {
        long callId = request.call().callId();
        decisions.register(callId, this::receive);
        try {
            if (!decisions.offer(new CallEvent.CallArrived(WallClock.nowMicros(), request.call()))) {
                answers.busy(context, request);
                return;
            }
            boolean isDone = false;
            while (!isDone) {
                isDone = carryOut(actions.take());
            }
        } finally {
            decisions.unregister(callId);
            attempts.values().forEach(Attempt::cancel);
        }
    }

    /** Takes an action on the engine's thread: attempts start and end there, the answer is up to the call's thread. */
    private void receive(CallAction action) {
        switch (action) {
            case CallAction.StartAttempt a -> start(a);
            case CallAction.CancelAttempt a -> cancel(a.attempt());
            default -> actions.add(action);
        }
    }

    private boolean carryOut(CallAction action) {
        switch (action) {
            case CallAction.RelayAnswer a -> {
                return relay(a.attempt());
            }
            case CallAction.AnswerCaller a -> {
                answers.answer(context, request, a);
                return true;
            }
            case CallAction.BreakAnswer a -> {
                breakConnection();
                return true;
            }
            default -> throw new UnknownCaseException(action);
        }
    }

    private void start(CallAction.StartAttempt a) {
        Attempt attempt = new Attempt(request, template, a, decisions, client);
        attempts.put(a.attempt(), attempt);
        Thread.startVirtualThread(attempt);
    }

    private void cancel(int number) {
        Attempt attempt = attempts.remove(number);
        if (attempt != null) {
            attempt.cancel();
        }
    }

    /** Relays an answer and reports how that ended; the call is over when the caller's connection is. */
    private boolean relay(int number) {
        Attempt attempt = attempts.get(number);
        Response response = attempt.response();
        InputStream in = response.body().byteStream();
        try {
            writeHead(response, attempt.serverName());
            copy(in, response.body().contentLength());
            report(number, new AttemptResult.Completed());
            return true;
        } catch (CallerGoneException e) {
            decisions.put(new CallEvent.CallerGone(
                    WallClock.nowMicros(), request.call().callId()));
            readOnForTicket(in, number);
            breakConnection();
            return true;
        } catch (IOException e) {
            report(number, new AttemptResult.Lost(LostCause.ANSWER_BROKEN));
            return false;
        } finally {
            response.close();
        }
    }

    /** Reads the rest of a ticketed request's answer, so that a repetition learns that the request ran. */
    private void readOnForTicket(InputStream in, int number) {
        if (request.call().ticket().isEmpty()) {
            return;
        }
        try {
            in.transferTo(OutputStream.nullOutputStream());
            report(number, new AttemptResult.Completed());
        } catch (IOException e) {
            report(number, new AttemptResult.Lost(LostCause.ANSWER_BROKEN));
        }
    }

    private void writeHead(Response response, String server) {
        var out = context.res();
        out.setStatus(response.code());
        response.headers().forEach(h -> {
            String name = h.getFirst().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !name.equals(CONTENT_LENGTH)) {
                out.addHeader(h.getFirst(), h.getSecond());
            }
        });
        String held = response.header(BackendClient.HELD_RETRY_AFTER);
        if (held != null) {
            out.setHeader("Retry-After", held);
        }
        String length = response.header(CONTENT_LENGTH);
        if (length != null) {
            out.setContentLengthLong(Long.parseLong(length));
        }
        answers.addOutcome(context, request, server);
        if (isStopping.getAsBoolean()) {
            out.setHeader("Connection", "close");
        }
    }

    private void copy(InputStream in, long announcedLength) throws IOException {
        OutputStream out = context.res().getOutputStream();
        byte[] buffer = new byte[COPY_BYTES];
        long left = announcedLength < 0 ? Long.MAX_VALUE : announcedLength;
        int count = in.read(buffer);
        while (count >= 0) {
            left -= count;
            write(out, buffer, count, left > 0);
            count = in.read(buffer);
        }
    }

    private static void write(OutputStream out, byte[] buffer, int count, boolean hasMore) throws CallerGoneException {
        try {
            out.write(buffer, 0, count);
            // A body that has reached its announced length is complete already; a flush would fail then.
            if (hasMore) {
                out.flush();
            }
        } catch (IOException e) {
            throw new CallerGoneException(e);
        }
    }

    private void report(int number, AttemptResult result) {
        decisions.put(
                new CallEvent.AttemptEnded(WallClock.nowMicros(), request.call().callId(), number, result));
    }

    /** Closes the caller's connection without ending the answer, so that a part never looks like the whole. */
    private void breakConnection() {
        ServletContextRequest.getServletContextRequest(context.req())
                .getConnectionMetaData()
                .getConnection()
                .getEndPoint()
                .close();
    }

    private static final class CallerGoneException extends IOException {
        private static final long serialVersionUID = 1L;

        private CallerGoneException(IOException cause) {
            super("caller closed its connection", cause);
        }
    }
}
