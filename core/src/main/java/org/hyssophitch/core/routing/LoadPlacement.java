package org.hyssophitch.core.routing;

import java.util.List;
import java.util.Optional;

/**
 * Places a call by load that was asked for when the call arrived. Stateless.
 *
 * <p>Answers the load of servers whose speed changes several times a second because they share their machines, and
 * which slow down when nearly all of their slots are taken: a call goes to the server that will finish it first, and
 * rather waits at the entry host than filling a server beyond the point from which all of its work gets slower.
 */
public final class LoadPlacement {

    /** Part of a server's slots from which on it slows down. */
    private static final double KNEE = 0.8;
    /** Slow-down of a server that is filled beyond that point. */
    private static final double KNEE_SLOWDOWN = 1.7;
    /** Slow-down of a server that started a short time ago. */
    private static final double COLD_SLOWDOWN = 2;
    /** Ratio up to which an answer's time differs from the others' by the requests alone. */
    private static final double USUAL_PACE = 1.5;
    /** Added relative cost of a server in another availability zone, as bytes between zones are priced. */
    private static final double ZONE_COST = 0.05;
    /** Age in microseconds up to which a report counts in full. */
    private static final double FRESH_MICROS = 40_000;
    /** Further age in microseconds at which half of a reported load has probably gone. */
    private static final double FADE_MICROS = 100_000;
    /** Part of a server's usable slots that others are assumed to take before any server has told its load. */
    public static final double DEFAULT_UTILIZATION = 0.4;

    /** Part of a call that doesn't fill a place. */
    private static final double ROUNDING = 0.45;
    /** Age in microseconds up to which a report still tells a server's speed. */
    private static final long SPEED_AGE_MICROS = 150_000;

    /** Time in microseconds for which the speed of a shared machine lasts on average. */
    private static final double SPEED_LASTS_MICROS = 300_000;
    /** Average speed of a shared machine, relative to its usual one. */
    private static final double AVERAGE_SPEED = 0.8;

    private final String zone;
    private final long nowMicros;
    private final double workMicros;
    private final double usualFill;

    /**
     * Creates a placement for one moment.
     *
     * @param zone availability zone of this entry host
     * @param nowMicros current time in microseconds
     * @param workMicros time in microseconds that the call usually takes; 0 when it isn't known
     * @param usualFill part of a server's usable slots that other hosts' calls usually take
     */
    public LoadPlacement(String zone, long nowMicros, double workMicros, double usualFill) {
        this.usualFill = usualFill;
        this.zone = zone;
        this.nowMicros = nowMicros;
        this.workMicros = workMicros;
    }

    /** Returns the number of calls up to which the server doesn't slow down; at least one. */
    public static int knee(ServerState s) {
        return Math.max(1, (int) (s.server().slots() * KNEE));
    }

    /**
     * Returns the calls that are probably at the server now: own ones, and the others' as last reported, which fade
     * towards the usual number with the report's age, so that an old report keeps nobody from a server.
     */
    public double estimatedInFlight(ServerState s) {
        double usual = usualFill * knee(s);
        double others = s.report()
                .map(r -> {
                    double weight = Math.pow(2, -Math.max(0, r.ageMicros(nowMicros) - FRESH_MICROS) / FADE_MICROS);
                    return weight * s.othersAtReport() + (1 - weight) * usual;
                })
                .orElse(usual);
        return s.inFlight() + others;
    }

    /** Returns whether one more call leaves the server below the point where it slows down. */
    public boolean hasRoom(ServerState s) {
        return estimatedInFlight(s) <= knee(s) - 1 + ROUNDING;
    }

    /**
     * Returns whether one more call would take the last of several places below the point where the server slows down.
     */
    public boolean isLastSlotBelowKnee(ServerState s) {
        return knee(s) > 1 && estimatedInFlight(s) > knee(s) - 2 + ROUNDING;
    }

    /** Returns the time that a call needs at the server, relative to an idle server of usual speed. */
    public double cost(ServerState s) {
        int slots = Math.max(1, s.server().slots());
        double waiting = Math.max(0, estimatedInFlight(s) + 1 - slots) / slots;
        double knee = hasRoom(s) ? 1 : KNEE_SLOWDOWN;
        double cold = s.isWarmingUp(nowMicros) ? COLD_SLOWDOWN : 1;
        double pace = Math.max(1, s.latencyRatio(nowMicros) / USUAL_PACE);
        double zoneCost = s.server().zone().equals(zone) ? 0 : ZONE_COST;
        return speed(s) * pace * cold * (knee + waiting) + zoneCost + estimatedInFlight(s) * ZONE_COST / slots;
    }

    /** Finds the server with room at which the call ends first. */
    public Optional<ServerState> choose(List<ServerState> candidates) {
        ServerState best = null;
        double least = Double.MAX_VALUE;
        for (ServerState s : candidates) {
            double cost = hasRoom(s) ? cost(s) : Double.MAX_VALUE;
            if (cost < least) {
                least = cost;
                best = s;
            }
        }
        return Optional.ofNullable(best);
    }

    private double speed(ServerState s) {
        return s.report()
                .filter(r -> r.ageMicros(nowMicros) <= SPEED_AGE_MICROS)
                .map(r -> lasting(r.slowdown()))
                .orElse(1.0);
    }

    /** A slow machine speeds up again before long, so a long call is slowed down less than a short one. */
    private double lasting(double slowdown) {
        if (workMicros <= 0 || slowdown <= 1) {
            return slowdown;
        }
        double rest = Math.max(0, workMicros - SPEED_LASTS_MICROS / slowdown);
        return Math.min(slowdown, (SPEED_LASTS_MICROS + rest / AVERAGE_SPEED) / workMicros);
    }
}
