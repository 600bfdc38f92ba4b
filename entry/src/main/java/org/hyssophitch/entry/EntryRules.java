package org.hyssophitch.entry;

import org.hyssophitch.core.call.Reason;
import org.hyssophitch.core.configuration.CallerLimits;
import org.hyssophitch.core.entry.RequestRouter;
import org.hyssophitch.http.RequestRules;
import org.hyssophitch.platform.PlatformHeaders;

/** Request rules on the platform: routes a request by host and path. Not thread-safe; confined to the event loop. */
final class EntryRules implements RequestRules {

    private final RequestRouter router;
    private final PlatformHeaders headers;
    private final EntryMetrics metrics;
    private final EventLog log;

    EntryRules(RequestRouter router, PlatformHeaders headers, EntryMetrics metrics, EventLog log) {
        this.router = router;
        this.headers = headers;
        this.metrics = metrics;
        this.log = log;
    }

    @Override
    public Verdict evaluate(RequestHead head) {
        if (router.version() == 0) {
            return new Verdict.Refused(Reason.NO_CONFIGURATION, "");
        }
        return router.find(head.host(), head.path())
                .<Verdict>map(r -> new Verdict.Accepted(
                        r.idempotent(),
                        head.target(),
                        (callId, replayable, fingerprint, arrived) -> router.createCall(
                                r,
                                callId,
                                head.requestId(),
                                headers.deadlineMillis(head.headers()).orElse(0),
                                replayable,
                                head.host() + ' ' + fingerprint,
                                arrived,
                                headers.forwardedAttempts(head.headers()))))
                .orElseGet(() -> new Verdict.Refused(Reason.NO_ROUTE, ""));
    }

    @Override
    public CallerLimits limits() {
        return router.limits();
    }

    @Override
    public void onAnswered(String requestId, Reason reason, int status, long elapsedMicros) {
        metrics.onAnswered(reason, elapsedMicros);
        log.recordAnswer(requestId, reason, status, elapsedMicros, router.version());
    }
}
