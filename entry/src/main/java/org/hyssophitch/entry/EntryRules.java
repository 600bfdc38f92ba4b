package org.hyssophitch.entry;

import java.util.List;

import org.hyssophitch.core.call.Reason;
import org.hyssophitch.core.configuration.CallerLimits;
import org.hyssophitch.core.configuration.Route;
import org.hyssophitch.core.entry.RequestRouter;
import org.hyssophitch.core.health.Fingerprint;
import org.hyssophitch.core.team.Caller;
import org.hyssophitch.core.timeline.EventBody;
import org.hyssophitch.http.RequestRules;
import org.hyssophitch.platform.PlatformHeaders;
import org.hyssophitch.wire.concurrent.WallClock;

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
                .map(r -> authenticate(head, r))
                .orElseGet(() -> new Verdict.Refused(Reason.NO_ROUTE, ""));
    }

    private Verdict authenticate(RequestHead head, Route route) {
        List<String> keys = PlatformHeaders.apiKeys(head.headers());
        return router.teams()
                .authenticate(keys, route.allowAnonymous())
                .caller(route.allowAnonymous())
                .map(c -> accept(head, route, c))
                .orElseGet(() -> new Verdict.Refused(Reason.UNKNOWN_KEY, ""));
    }

    private Verdict accept(RequestHead head, Route route, Caller caller) {
        return new Verdict.Accepted(
                route.idempotent(),
                head.target(),
                caller.teamName(),
                (callId, replayable, fingerprint, arrived) -> router.createCall(
                        route,
                        callId,
                        head.requestId(),
                        headers.deadlineMillis(head.headers()).orElse(0),
                        replayable,
                        Fingerprint.bounded(origin(head, caller) + ' ' + fingerprint),
                        arrived,
                        headers.forwardedAttempts(head.headers()),
                        caller));
    }

    /** Returns the part of a request's fingerprint that tells for whom it is. */
    private static String origin(RequestHead head, Caller caller) {
        return caller.teamName().isEmpty() ? head.host() : head.host() + " team=" + caller.teamName();
    }

    @Override
    public CallerLimits limits() {
        return router.limits();
    }

    @Override
    public void onAnswered(String requestId, String team, Reason reason, int status, long elapsedMicros) {
        metrics.onAnswered(reason, elapsedMicros);
        if (reason != Reason.ANSWERED && !router.teams().isEmpty()) {
            metrics.onTeamRefused(team, reason);
        }
        log.recordAnswer(requestId, team, reason, status, elapsedMicros, router.version());
    }

    @Override
    public void onStopped(String requestId, EventBody.RequestAtStop request) {
        log.record(WallClock.nowMicros(), requestId, request);
    }
}
