package org.hyssophitch.bench.day;

import java.util.List;

import org.hyssophitch.bench.model.ServerBehaviour;
import org.hyssophitch.core.call.FleetLimits;
import org.hyssophitch.core.configuration.Route;

/**
 * A deployment and one day of it. Immutable; read by {@link DayReader}.
 *
 * @param name name of the day
 * @param seconds time in seconds in which callers send requests
 * @param limits limits that all entry hosts keep together
 * @param zones availability zones
 * @param services services and their servers
 * @param kinds kinds of requests
 * @param events what happens during the day
 */
public record DayPlan(
        String name,
        double seconds,
        FleetLimits limits,
        List<Zone> zones,
        List<ServicePlan> services,
        List<RequestKind> kinds,
        List<DayEvent> events) {

    /** Checks that nothing changes any more. */
    public DayPlan {
        zones = List.copyOf(zones);
        services = List.copyOf(services);
        kinds = List.copyOf(kinds);
        events = List.copyOf(events);
    }

    /** Returns this day with other limits, or this instance when nothing changes. */
    public DayPlan withLimits(FleetLimits value) {
        return value.equals(limits) ? this : new DayPlan(name, seconds, value, zones, services, kinds, events);
    }

    /** Returns this day with other events, or this instance when nothing changes. */
    public DayPlan withEvents(List<DayEvent> value) {
        return value.equals(events) ? this : new DayPlan(name, seconds, limits, zones, services, kinds, value);
    }

    /**
     * One availability zone.
     *
     * @param name its name
     * @param hosts number of entry hosts
     * @param callers its part of the callers, relative to the other zones
     * @param clump requests that its callers send at the same time
     */
    public record Zone(String name, int hosts, double callerWeight, int batchSize) {}

    /**
     * Servers of one service in one zone.
     *
     * @param zone the zone
     * @param count number of servers
     */
    public record ServerGroup(String zone, int count) {}

    /**
     * One service.
     *
     * @param name its name
     * @param groups its servers by zone
     * @param behaviour how each of them works
     */
    public record ServicePlan(String name, List<ServerGroup> groups, ServerBehaviour behaviour) {}

    /**
     * One kind of request.
     *
     * @param route its route; the target latency, the time-out and the attempts are those of the route
     * @param perSecond requests per second of all callers
     * @param deadlineMillis time in milliseconds that a caller waits in all
     * @param repeats times that a caller sends a request again
     * @param work how long it takes
     * @param worth worth of an answer within the target latency
     * @param lateWorth worth of a later one
     */
    public record RequestKind(
            Route route,
            double perSecond,
            int deadlineMillis,
            int maxRetries,
            ServiceTime serviceTime,
            double worth,
            double lateWorth) {

        /** Returns the name of the kind. */
        public String name() {
            return route.name();
        }
    }

    /**
     * Distribution of the time that requests take: a log-normal body and a tail.
     *
     * @param meanMillis mean of the body in milliseconds
     * @param spread standard deviation of the logarithm
     * @param tailPart part of the requests that take longer
     * @param tailFactor how many times longer
     */
    public record ServiceTime(double meanMillis, double sigma, double tailFraction, double tailFactor) {}
}
