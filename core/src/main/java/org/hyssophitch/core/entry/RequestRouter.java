package org.hyssophitch.core.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.random.RandomGenerator;

import org.hyssophitch.core.call.CallPolicy;
import org.hyssophitch.core.call.CallRequest;
import org.hyssophitch.core.configuration.CallerLimits;
import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.configuration.Route;
import org.hyssophitch.core.configuration.RouteTable;
import org.hyssophitch.core.routing.TrafficSplit;
import org.hyssophitch.core.team.Caller;
import org.hyssophitch.core.team.PriorityOrder;
import org.hyssophitch.core.team.Team;
import org.hyssophitch.core.team.TeamTable;

/**
 * Finds the route of a request and creates the call for the engine. Not thread-safe; owned by one event loop.
 */
public final class RequestRouter {

    private static final long MICROS_PER_MILLI = 1_000;

    private final TrafficSplit split;
    /** Longest deadline in milliseconds seen per route name. */
    private final Map<String, Long> longestDeadlines = new HashMap<>();

    private RouteTable routes = RouteTable.EMPTY;
    private CallerLimits limits = CallerLimits.DEFAULT;
    private TeamTable teams = TeamTable.EMPTY;
    private long version;

    /**
     * Creates a router without routes.
     *
     * @param random seeded source of randomness
     */
    public RequestRouter(RandomGenerator random) {
        this.split = new TrafficSplit(random);
    }

    /** Applies a configuration if it is newer than the current one; returns whether it was. */
    public boolean accept(Configuration configuration) {
        return accept(configuration, TeamTable.of(configuration.teams()));
    }

    /**
     * Applies a configuration as {@link #accept(Configuration)} does.
     *
     * @param newTeams index of the configuration's teams
     */
    public boolean accept(Configuration configuration, TeamTable newTeams) {
        if (configuration.version() <= version) {
            return false;
        }
        version = configuration.version();
        routes = new RouteTable(configuration.routes());
        limits = configuration.limits();
        teams = newTeams;
        split.reset();
        longestDeadlines.clear();
        return true;
    }

    /** Returns the version of the current configuration; 0 without one. */
    public long version() {
        return version;
    }

    public CallerLimits limits() {
        return limits;
    }

    /** Returns the teams of the current configuration. */
    public TeamTable teams() {
        return teams;
    }

    /** Finds the route of a request. */
    public Optional<Route> find(String host, String path) {
        return routes.find(host, path);
    }

    /**
     * Creates the call for a request.
     *
     * @param deadlineMillis time in milliseconds from the arrival that the caller waits; 0 when unspecified
     * @param replayable whether the request can be sent again
     * @param fingerprint identifies requests with the same content
     * @param forwardedAttempts attempts that another entry host has left for the request; empty if it came from its
     *     caller
     * @param caller who sent the request
     */
    public CallRequest createCall(
            Route route,
            long callId,
            String requestId,
            long deadlineMillis,
            boolean replayable,
            String fingerprint,
            long arrivedMicros,
            OptionalInt forwardedAttempts,
            Caller caller) {
        long timeoutMillis =
                deadlineMillis > 0 ? Math.min(deadlineMillis, route.timeoutMillis()) : route.timeoutMillis();
        long targetLatencyMicros = route.targetLatencyMillis() * MICROS_PER_MILLI;
        long targetMicros =
                arrivedMicros + targetLatencyMicros - elapsedMillis(route, deadlineMillis) * MICROS_PER_MILLI;
        return new CallRequest(
                callId,
                requestId,
                split.next(route),
                route.idempotent(),
                Optional.empty(),
                arrivedMicros + timeoutMillis * MICROS_PER_MILLI,
                0,
                true,
                replayable,
                fingerprint,
                new CallPolicy(
                        Math.min(route.maxAttempts(), forwardedAttempts.orElse(route.maxAttempts())),
                        priority(route, caller),
                        returnRank(route, caller),
                        targetMicros,
                        targetLatencyMicros),
                forwardedAttempts.isPresent(),
                caller);
    }

    private int priority(Route route, Caller caller) {
        return teams.isEmpty() ? route.priority() : PriorityOrder.combine(teamPriority(caller), route.priority());
    }

    /** Callers of important teams return first; without any team priority, the routes' priorities decide. */
    private int returnRank(Route route, Caller caller) {
        return teams.hasPriorities() ? teamPriority(caller).orElse(Integer.MAX_VALUE) : route.priority();
    }

    private OptionalInt teamPriority(Caller caller) {
        return teams.find(caller.teamName()).map(Team::priority).orElse(OptionalInt.empty());
    }

    /**
     * Estimates how long the caller has already been retrying. All callers of a route have the same total timeout, so
     * a deadline shorter than the longest one seen means that the caller has used up the difference.
     */
    private long elapsedMillis(Route route, long deadlineMillis) {
        if (deadlineMillis <= 0) {
            return 0;
        }
        return longestDeadlines.merge(route.name(), deadlineMillis, Math::max) - deadlineMillis;
    }
}
