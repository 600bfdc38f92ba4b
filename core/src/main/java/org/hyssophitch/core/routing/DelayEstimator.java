package org.hyssophitch.core.routing;

import java.util.List;

/**
 * Estimates the latency of one more attempt at a backend server. Immutable; created for one choice.
 *
 * <p>The estimate combines this entry host's attempts in flight, the attempts of other entry hosts by the latest load
 * report, and the server's service time. The older a report, the more it is blended with the candidates' average. An
 * attempt that has been running for much longer than the service time raises the estimate, so a straggling server is
 * detected before it answers.
 */
public final class DelayEstimator {

    /** Time constant of the exponential decay of a report's weight, as a multiple of the median service time. */
    private static final double REPORT_DECAY_FACTOR = 0.5;
    /** Multiple of the median service time up to which a server's own service time is treated as noise. */
    private static final double SLOW_SERVICE_FACTOR = 2;
    /** Weight of the server's utilization, which spreads load before all slots of a server are taken. */
    private static final double UTILIZATION_WEIGHT = 1;
    /** Penalty in microseconds for a server in another availability zone. */
    private static final double CROSS_ZONE_MICROS = 1_000;
    /** Service time in microseconds assumed until there is a sample. */
    private static final double DEFAULT_SERVICE_MICROS = 5_000;
    /** Multiple of the median service time above which an attempt in flight counts as a straggler. */
    private static final double STRAGGLER_FACTOR = 4;

    private final String zone;
    private final long nowMicros;
    private final double averageOtherAttempts;
    private final double medianServiceMicros;

    /**
     * Creates an estimator for one choice.
     *
     * @param zone availability zone of this entry host
     * @param candidates candidates over which the average load and the median service time are taken
     * @param nowMicros current time in microseconds
     */
    public DelayEstimator(String zone, List<ServerState> candidates, long nowMicros) {
        this.zone = zone;
        this.nowMicros = nowMicros;
        this.averageOtherAttempts = candidates.stream()
                .mapToInt(ServerState::othersAtReport)
                .filter(n -> n >= 0)
                .average()
                .orElse(0);
        this.medianServiceMicros = median(candidates);
    }

    /** Returns the estimated latency in microseconds of one more attempt at the server. */
    public double estimate(ServerState s) {
        int slots = Math.max(1, s.server().slots());
        double inFlight = s.inFlight() + otherAttempts(s);
        double serviceTime = Math.max(serviceMicros(s), stragglerMicros(s));
        double queued = Math.max(0, inFlight + 1 - slots);
        double utilization = inFlight / slots;
        double crossZoneMicros = s.server().zone().equals(zone) ? 0 : CROSS_ZONE_MICROS;
        return serviceTime * (1 + queued / slots + utilization * UTILIZATION_WEIGHT) + crossZoneMicros;
    }

    private double otherAttempts(ServerState s) {
        return s.report()
                .map(r -> {
                    double weight = Math.exp(-r.ageMicros(nowMicros) / (REPORT_DECAY_FACTOR * medianServiceMicros));
                    return weight * s.othersAtReport() + (1 - weight) * averageOtherAttempts;
                })
                .orElse(averageOtherAttempts);
    }

    private double serviceMicros(ServerState s) {
        boolean isSlow = s.serviceMicros() > SLOW_SERVICE_FACTOR * medianServiceMicros;
        return isSlow ? s.serviceMicros() : medianServiceMicros;
    }

    private double stragglerMicros(ServerState s) {
        long oldest = s.inFlight() == 0 ? 0 : s.oldestElapsedMicros(nowMicros);
        return oldest > STRAGGLER_FACTOR * medianServiceMicros ? oldest : 0;
    }

    private static double median(List<ServerState> candidates) {
        double[] known = candidates.stream()
                .mapToDouble(ServerState::serviceMicros)
                .filter(m -> m > 0)
                .sorted()
                .toArray();
        return known.length == 0 ? DEFAULT_SERVICE_MICROS : known[known.length / 2];
    }
}
