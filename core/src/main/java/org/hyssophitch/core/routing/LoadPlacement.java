package org.hyssophitch.core.routing;

import java.util.List;
import java.util.Optional;

/**
 * Chooses a backend server for a call by the load that the servers report when they are probed. Immutable; created for
 * one choice.
 *
 * <p>This suits servers that share their machines, so that their speed changes several times a second, and that slow
 * down when nearly all of their slots are taken, above the knee of their load curve. A call goes to the server that is
 * expected to finish it first. If every server has reached its knee, the call waits at the entry host, because one more
 * call would slow down all calls at a server.
 */
public final class LoadPlacement {

    /** Utilization of a server's slots above which the server slows down. */
    private static final double KNEE_UTILIZATION = 0.8;
    /** Slowdown of a server that is loaded beyond its knee. */
    private static final double KNEE_SLOWDOWN = 1.7;
    /** Slowdown of a server during its warm-up. */
    private static final double WARM_UP_SLOWDOWN = 2;
    /** Latency ratio up to which a difference is explained by the requests and doesn't indicate a slow server. */
    private static final double LATENCY_RATIO_NOISE = 1.5;
    /** Relative cost added for a server in another availability zone, where traffic has a price. */
    private static final double CROSS_ZONE_COST = 0.05;
    /** Age in microseconds up to which a load report has full weight. */
    private static final double FRESH_REPORT_MICROS = 40_000;
    /** Half-life in microseconds of the weight of a load report that is no longer fresh. */
    private static final double REPORT_HALF_LIFE_MICROS = 100_000;
    /** Fraction of a server's knee that other hosts' calls are assumed to take until any server reports its load. */
    public static final double DEFAULT_UTILIZATION = 0.4;

    /** Fraction of a call by which an estimate may exceed the room at a server, as estimates aren't whole numbers. */
    private static final double FRACTIONAL_CALL_TOLERANCE = 0.45;
    /** Age in microseconds up to which the slowdown in a report is used. */
    private static final long MAX_SLOWDOWN_AGE_MICROS = 150_000;

    /** Mean time in microseconds for which a shared machine keeps its speed. */
    private static final double MEAN_SPEED_PERIOD_MICROS = 300_000;
    /** Mean speed of a shared machine relative to its usual speed. */
    private static final double MEAN_SPEED = 0.8;

    private final String zone;
    private final long nowMicros;
    private final double callMicros;
    private final double usualUtilization;

    /**
     * Creates a placement for one choice.
     *
     * @param zone availability zone of this entry host
     * @param nowMicros current time in microseconds
     * @param callMicros expected duration of the call in microseconds; 0 if unknown
     * @param usualUtilization average fraction of a server's knee that calls of other entry hosts take
     */
    public LoadPlacement(String zone, long nowMicros, double callMicros, double usualUtilization) {
        this.usualUtilization = usualUtilization;
        this.zone = zone;
        this.nowMicros = nowMicros;
        this.callMicros = callMicros;
    }

    /** Returns the knee of the server: the number of calls up to which it doesn't slow down, at least one. */
    public static int knee(ServerState s) {
        return Math.max(1, (int) (s.server().slots() * KNEE_UTILIZATION));
    }

    /**
     * Returns the estimated number of calls at the server: those of this entry host, and those of the others by the
     * latest report. The older the report, the more it is blended with the usual number, so that an old report of a
     * full server doesn't block the server.
     */
    public double estimatedInFlight(ServerState s) {
        double expectedOthers = usualUtilization * knee(s);
        double others = s.report()
                .map(r -> {
                    double weight = Math.pow(
                            2, -Math.max(0, r.ageMicros(nowMicros) - FRESH_REPORT_MICROS) / REPORT_HALF_LIFE_MICROS);
                    return weight * s.othersAtReport() + (1 - weight) * expectedOthers;
                })
                .orElse(expectedOthers);
        return s.inFlight() + others;
    }

    /** Returns whether the server stays within its knee with one more call. */
    public boolean hasRoom(ServerState s) {
        return estimatedInFlight(s) <= knee(s) - 1 + FRACTIONAL_CALL_TOLERANCE;
    }

    /**
     * Returns whether one more call would take the server's last slot below its knee; false if its knee is a single
     * call.
     */
    public boolean isLastSlotBelowKnee(ServerState s) {
        return knee(s) > 1 && estimatedInFlight(s) > knee(s) - 2 + FRACTIONAL_CALL_TOLERANCE;
    }

    /**
     * Returns the expected duration of the call at the server, relative to an idle server of usual speed, plus small
     * costs for crossing zones and for the server's utilization.
     */
    public double cost(ServerState s) {
        int slots = Math.max(1, s.server().slots());
        double queued = Math.max(0, estimatedInFlight(s) + 1 - slots) / slots;
        double kneeSlowdown = hasRoom(s) ? 1 : KNEE_SLOWDOWN;
        double warmUpSlowdown = s.isWarmingUp(nowMicros) ? WARM_UP_SLOWDOWN : 1;
        double latencyRatio = Math.max(1, s.latencyRatio(nowMicros) / LATENCY_RATIO_NOISE);
        double crossZoneCost = s.server().zone().equals(zone) ? 0 : CROSS_ZONE_COST;
        return slowdown(s) * latencyRatio * warmUpSlowdown * (kneeSlowdown + queued)
                + crossZoneCost
                + estimatedInFlight(s) * CROSS_ZONE_COST / slots;
    }

    /** Returns the server with room that has the lowest cost, or empty if no server has room. */
    public Optional<ServerState> choose(List<ServerState> candidates) {
        ServerState best = null;
        double lowestCost = Double.MAX_VALUE;
        for (ServerState s : candidates) {
            double cost = hasRoom(s) ? cost(s) : Double.MAX_VALUE;
            if (cost < lowestCost) {
                lowestCost = cost;
                best = s;
            }
        }
        return Optional.ofNullable(best);
    }

    private double slowdown(ServerState s) {
        return s.report()
                .filter(r -> r.ageMicros(nowMicros) <= MAX_SLOWDOWN_AGE_MICROS)
                .map(r -> averageSlowdown(r.slowdown()))
                .orElse(1.0);
    }

    /**
     * Returns the average slowdown over the duration of the call. A slow machine returns to its mean speed after some
     * time, so a long call is slowed down less than a short one.
     */
    private double averageSlowdown(double slowdown) {
        if (callMicros <= 0 || slowdown <= 1) {
            return slowdown;
        }
        double remainingWorkMicros = Math.max(0, callMicros - MEAN_SPEED_PERIOD_MICROS / slowdown);
        return Math.min(slowdown, (MEAN_SPEED_PERIOD_MICROS + remainingWorkMicros / MEAN_SPEED) / callMicros);
    }
}
