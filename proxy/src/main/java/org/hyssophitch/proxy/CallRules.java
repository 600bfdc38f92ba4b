package org.hyssophitch.proxy;

import java.util.OptionalInt;
import java.util.function.Function;

import org.hyssophitch.core.call.CallRequest;
import org.hyssophitch.core.call.Reason;
import org.hyssophitch.core.configuration.CallerLimits;
import org.hyssophitch.core.configuration.Route;
import org.hyssophitch.core.entry.RequestRouter;
import org.hyssophitch.core.health.Fingerprint;
import org.hyssophitch.core.team.Caller;
import org.hyssophitch.core.timeline.EventBody;
import org.hyssophitch.http.RequestRules;

/**
 * Request rules of the proxy: a path under {@code /services/} names the service, and any other request is matched by
 * host name and path against the routes of the configuration, then against the local endpoints. Not thread-safe;
 * confined to the event loop.
 */
final class CallRules implements RequestRules {

    private static final String SERVICES_PREFIX = "/services/";

    private final RequestRouter router;
    private final LocalEndpoints localEndpoints;
    private final ProxyMetrics metrics;

    CallRules(RequestRouter router, LocalEndpoints localEndpoints, ProxyMetrics metrics) {
        this.router = router;
        this.localEndpoints = localEndpoints;
        this.metrics = metrics;
    }

    @Override
    public Verdict evaluate(RequestHead head) {
        try {
            CallOptions options = CallOptions.of(head.method(), head.headers());
            if (head.target().startsWith(SERVICES_PREFIX)) {
                return authenticate(head, false, c -> serviceCall(head, options, c));
            }
            return router.find(head.host(), head.path())
                    .map(r -> authenticate(
                            head, r.allowAnonymous(), c -> routedCall(head, r, options.forRoute(r.idempotent()), c)))
                    .or(() -> localEndpoints.find(head).map(Verdict.Answered::new))
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
    public void onAnswered(String requestId, String team, Reason reason, int status, long elapsedMicros) {
        metrics.onAnswered(reason, elapsedMicros);
    }

    @Override
    public void onStopped(String requestId, EventBody.RequestAtStop request) {
        metrics.onRequestAtStop(request);
    }

    private Verdict authenticate(RequestHead head, boolean allowsAnonymous, Function<Caller, Verdict> call) {
        return router.teams()
                .authenticate(HyssophitchHeaders.apiKeys(head.headers()), allowsAnonymous)
                .caller(allowsAnonymous)
                .map(call)
                .orElseGet(() -> new Verdict.Refused(Reason.UNKNOWN_KEY, ""));
    }

    private Verdict serviceCall(RequestHead head, CallOptions options, Caller caller) {
        String rest = head.target().substring(SERVICES_PREFIX.length());
        int end = serviceNameEnd(rest);
        String service = rest.substring(0, end);
        String path = rest.substring(end);
        CallFactory callFactory = (callId, replayable, fingerprint, arrived) -> new CallRequest(
                        callId,
                        head.requestId(),
                        service,
                        options.idempotent(),
                        options.ticket(),
                        options.deadlineMicros(arrived),
                        options.depth(),
                        options.mayRetry(),
                        replayable,
                        Fingerprint.of(origin(caller) + fingerprint))
                .withCaller(caller);
        return accept(options, path.startsWith("/") ? path : "/" + path, caller, callFactory);
    }

    private Verdict routedCall(RequestHead head, Route route, CallOptions options, Caller caller) {
        CallFactory callFactory = (callId, replayable, fingerprint, arrived) -> router.createCall(
                        route,
                        callId,
                        head.requestId(),
                        Math.max(0, options.timeoutMillis()),
                        replayable,
                        Fingerprint.of(origin(caller) + head.host() + ' ' + fingerprint),
                        arrived,
                        OptionalInt.empty(),
                        caller)
                .withCaller(options.idempotent(), options.ticket(), options.depth(), options.mayRetry());
        return accept(options, head.target(), caller, callFactory);
    }

    private static Verdict accept(CallOptions options, String target, Caller caller, CallFactory callFactory) {
        return options.lacksTicket()
                ? new Verdict.Refused(Reason.TICKET_REQUIRED, "POST /tickets issues them")
                : new Verdict.Accepted(options.idempotent(), target, caller.teamName(), callFactory);
    }

    /** Returns the part of a request's fingerprint that names the caller's team; empty without one. */
    private static String origin(Caller caller) {
        return caller.teamName().isEmpty() ? "" : "team=" + caller.teamName() + ' ';
    }

    private static int serviceNameEnd(String rest) {
        int end = 0;
        while (end < rest.length() && rest.charAt(end) != '/' && rest.charAt(end) != '?') {
            end++;
        }
        return end;
    }
}
