package org.hyssophitch.core.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.hyssophitch.core.call.CallRequest;
import org.hyssophitch.core.call.CallTerms;
import org.hyssophitch.core.configuration.CallerLimits;
import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.configuration.Route;
import org.hyssophitch.core.configuration.RouteTable;
import org.hyssophitch.core.routing.TrafficSplit;

/**
 * Finds the route of a request and makes the engine's call of it. Not thread-safe; owned by one event loop.
 */
public final class RequestRouter {

    private static final long MICROS_PER_MILLI = 1_000;

    private final TrafficSplit split;
    private final Map<String, Long> longestDeadlines = new HashMap<>();
    private RouteTable routes = RouteTable.EMPTY;
    private CallerLimits limits = CallerLimits.DEFAULT;
    private long version;

    /**
     * Creates a router without routes.
     *
     * @param random seeded source of randomness
     */
    public RequestRouter(RandomGenerator random) {
        this.split = new TrafficSplit(random);
    }

    /** Takes over a newer configuration; an older one is left alone. Returns whether it was newer. */
    public boolean accept(Configuration configuration) {
        if (configuration.version() <= version) {
            return false;
        }
        version = configuration.version();
        routes = new RouteTable(configuration.routes());
        limits = configuration.limits();
        split.reset();
        longestDeadlines.clear();
        return true;
    }

    /** Returns the version of the configuration in force; 0 without one. */
    public long version() {
        return version;
    }

    public CallerLimits limits() {
        return limits;
    }

    /** Finds the route of a request. */
    public Optional<Route> find(String host, String path) {
        return routes.find(host, path);
    }

    /**
     * Makes the call of a request.
     *
     * @param deadlineMillis time in milliseconds that the caller waits from the arrival on; 0 when it doesn't say
     */
    public CallRequest createCall(
            Route route,
            long callId,
            String requestId,
            long deadlineMillis,
            boolean replayable,
            String fingerprint,
            long arrivedMicros) {
        long allowed = deadlineMillis > 0 ? Math.min(deadlineMillis, route.timeoutMillis()) : route.timeoutMillis();
        long span = route.targetLatencyMillis() * MICROS_PER_MILLI;
        long target = arrivedMicros + span - spentMillis(route, deadlineMillis) * MICROS_PER_MILLI;
        return new CallRequest(
                callId,
                requestId,
                split.next(route),
                route.idempotent(),
                Optional.empty(),
                arrivedMicros + allowed * MICROS_PER_MILLI,
                0,
                true,
                replayable,
                fingerprint,
                new CallTerms(route.maxAttempts(), route.priority(), target, span));
    }

    /**
     * Returns how long the caller has been trying already: callers of a route wait equally long in all, so one that
     * waits less than the others has come back.
     */
    private long spentMillis(Route route, long deadlineMillis) {
        if (deadlineMillis <= 0) {
            return 0;
        }
        return longestDeadlines.merge(route.name(), deadlineMillis, Math::max) - deadlineMillis;
    }
}
