package org.hyssophitch.http;

import java.util.List;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import org.hyssophitch.core.call.CallEvent;
import org.hyssophitch.core.call.CallEvent.AnswerSource;
import org.hyssophitch.wire.concurrent.WallClock;

/** Passes to the call engine what a backend server reports of itself in the head of an answer. Stateless. */
final class ServerReports {

    private ServerReports() {}

    /**
     * Passes the load report on, and the server's statements.
     *
     * @param sentMicros time in microseconds at which the request was sent
     * @param isOtherInstance whether another server than the named one has answered, whose statements don't count
     */
    static void pass(
            HttpResponse response, String server, long sentMicros, boolean isOtherInstance, CallDispatcher dispatcher) {
        int status = response.status().code();
        long now = WallClock.nowMicros();
        HeaderConventions conventions = dispatcher.headerConventions();
        conventions
                .loadReport(server, status, response.headers(), now)
                .ifPresent(r -> dispatcher.handle(new CallEvent.LoadReportsReceived(now, List.of(r))));
        if (!isOtherInstance) {
            boolean isSuccess = response.status().codeClass() == HttpStatusClass.SUCCESS;
            AnswerSource source = isSuccess ? AnswerSource.SUCCESS : AnswerSource.ERROR;
            dispatcher.handle(new CallEvent.ServerAnswered(
                    now, sentMicros, server, source, conventions.statements(status, response.headers())));
        }
    }
}
