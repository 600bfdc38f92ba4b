package org.hyssophitch.entry;

import org.hyssophitch.core.call.Reason;
import org.hyssophitch.core.configuration.CallerLimits;
import org.hyssophitch.core.entry.RequestRouter;
import org.hyssophitch.http.RequestRules;

/** Rules for requests on the platform: a route by host and path. Not thread-safe; lives on the event loop. */
final class EntryRules implements RequestRules {

    private final RequestRouter router;
    private final EntryMetrics metrics;
    private final EventLog log;

    EntryRules(RequestRouter router, EntryMetrics metrics, EventLog log) {
        this.router = router;
        this.metrics = metrics;
        this.log = log;
    }

    @Override
    public Verdict judge(RequestHead head) {
        if (router.version() == 0) {
            return new Verdict.Refused(Reason.NO_CONFIGURATION, "");
        }
        return router.find(head.host(), head.path())
                .<Verdict>map(r -> new Verdict.Accepted(
                        r.idempotent(),
                        head.target(),
                        (callId, replayable, fingerprint, arrived) -> router.call(
                                r,
                                callId,
                                head.requestId(),
                                head.deadlineMillis(),
                                replayable,
                                head.host() + ' ' + fingerprint,
                                arrived)))
                .orElseGet(() -> new Verdict.Refused(Reason.NO_ROUTE, ""));
    }

    @Override
    public CallerLimits limits() {
        return router.limits();
    }

    @Override
    public void onAnswered(String requestId, Reason reason, int status, long elapsedMicros) {
        metrics.onAnswered(reason, elapsedMicros);
        log.answered(requestId, reason, status, elapsedMicros, router.version());
    }
}
