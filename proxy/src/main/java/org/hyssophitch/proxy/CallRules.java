package org.hyssophitch.proxy;

import org.hyssophitch.core.call.CallRequest;
import org.hyssophitch.core.call.Reason;
import org.hyssophitch.core.configuration.CallerLimits;
import org.hyssophitch.core.configuration.Route;
import org.hyssophitch.core.entry.RequestRouter;
import org.hyssophitch.http.RequestRules;

/**
 * Rules for requests of our own deployment: callers name the service in the path, or a route of the configuration finds
 * it by host name and path. Not thread-safe; lives on the event loop.
 */
final class CallRules implements RequestRules {

    private static final String PREFIX = "/services/";

    private final RequestRouter router;
    private final LocalAnswers local;
    private final ProxyMetrics metrics;

    CallRules(RequestRouter router, LocalAnswers local, ProxyMetrics metrics) {
        this.router = router;
        this.local = local;
        this.metrics = metrics;
    }

    @Override
    public Verdict evaluate(RequestHead head) {
        try {
            CallerWishes wishes = CallerWishes.of(head.method(), head.headers());
            if (head.target().startsWith(PREFIX)) {
                return named(head, wishes);
            }
            return router.find(head.host(), head.path())
                    .map(r -> routed(head, r, wishes.within(r.idempotent())))
                    .or(() -> local.find(head).map(Verdict.Answered::new))
                    .orElseGet(() -> new Verdict.Refused(Reason.NO_ROUTE, ""));
        } catch (MalformedHeaderException e) {
            return new Verdict.Refused(Reason.BAD_REQUEST, e.getMessage());
        }
    }

    @Override
    public CallerLimits limits() {
        return router.limits();
    }

    @Override
    public void onAnswered(String requestId, Reason reason, int status, long elapsedMicros) {
        metrics.onAnswered(reason, elapsedMicros);
    }

    private Verdict named(RequestHead head, CallerWishes wishes) {
        String rest = head.target().substring(PREFIX.length());
        int end = endOfName(rest);
        String service = rest.substring(0, end);
        String path = rest.substring(end);
        CallFactory plan = (callId, replayable, fingerprint, arrived) -> new CallRequest(
                callId,
                head.requestId(),
                service,
                wishes.idempotent(),
                wishes.ticket(),
                wishes.deadlineMicros(arrived),
                wishes.depth(),
                wishes.mayRetry(),
                replayable,
                Fingerprint.of(fingerprint));
        return accept(wishes, path.startsWith("/") ? path : "/" + path, plan);
    }

    private Verdict routed(RequestHead head, Route route, CallerWishes wishes) {
        CallFactory plan = (callId, replayable, fingerprint, arrived) -> router.createCall(
                        route,
                        callId,
                        head.requestId(),
                        Math.max(0, wishes.waitMillis()),
                        replayable,
                        Fingerprint.of(head.host() + ' ' + fingerprint),
                        arrived)
                .withCaller(wishes.idempotent(), wishes.ticket(), wishes.depth(), wishes.mayRetry());
        return accept(wishes, head.target(), plan);
    }

    private static Verdict accept(CallerWishes wishes, String target, CallFactory plan) {
        return wishes.lacksTicket()
                ? new Verdict.Refused(Reason.TICKET_REQUIRED, "POST /tickets issues them")
                : new Verdict.Accepted(wishes.idempotent(), target, plan);
    }

    private static int endOfName(String rest) {
        int end = 0;
        while (end < rest.length() && rest.charAt(end) != '/' && rest.charAt(end) != '?') {
            end++;
        }
        return end;
    }
}
