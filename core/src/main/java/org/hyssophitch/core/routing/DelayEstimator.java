package org.hyssophitch.core.routing;

import java.util.List;

/**
 * Estimates the delay that one more attempt would meet at a backend server. Stateless.
 *
 * <p>The estimate joins this entry host's own attempts in flight, the latest report of the others' attempts, which
 * fades towards the candidates' average with its age, and the server's own service time. An attempt that has been
 * running for much longer than the service time raises the estimate, which shows a straggler before it answers.
 */
public final class DelayEstimator {

    /** Age in microseconds at which a report has lost 63% of its weight. */
    private static final double REPORT_FADE_MICROS = 20_000;
    /** Added delay in microseconds of a server in another availability zone. */
    private static final double ZONE_MICROS = 1_000;
    /** Service time in microseconds assumed before any sample. */
    private static final double UNKNOWN_SERVICE_MICROS = 5_000;
    /** Multiple of the average service time from which on an attempt in flight counts as late. */
    private static final double LATE_FACTOR = 4;

    private final String zone;
    private final long nowMicros;
    private final double averageOthers;
    private final double averageServiceMicros;

    /**
     * Creates an estimator for one choice.
     *
     * @param zone availability zone of this entry host
     * @param candidates candidates that the averages are taken over
     * @param nowMicros current time in microseconds
     */
    public DelayEstimator(String zone, List<ServerState> candidates, long nowMicros) {
        this.zone = zone;
        this.nowMicros = nowMicros;
        this.averageOthers = candidates.stream()
                .mapToInt(ServerState::othersAtReport)
                .filter(n -> n >= 0)
                .average()
                .orElse(0);
        this.averageServiceMicros = candidates.stream()
                .mapToDouble(ServerState::serviceMicros)
                .filter(m -> m > 0)
                .average()
                .orElse(UNKNOWN_SERVICE_MICROS);
    }

    /** Returns the estimated delay in microseconds of one more attempt at the server. */
    public double estimate(ServerState s) {
        int slots = Math.max(1, s.server().slots());
        double present = s.inFlight() + others(s);
        double service = Math.max(serviceMicros(s), lateness(s));
        double waiting = Math.max(0, present + 1 - slots);
        double spread = present / slots;
        double zoneCost = s.server().zone().equals(zone) ? 0 : ZONE_MICROS;
        return service * (1 + waiting / slots) + averageServiceMicros * spread * SPREAD_WEIGHT + zoneCost;
    }

    /** Weight of the server's use below its slots, which spreads load before anything waits. */
    private static final double SPREAD_WEIGHT = 0.5;

    private double others(ServerState s) {
        return s.report()
                .map(r -> {
                    double weight = Math.exp(-r.ageMicros(nowMicros) / REPORT_FADE_MICROS);
                    return weight * s.othersAtReport() + (1 - weight) * averageOthers;
                })
                .orElse(averageOthers);
    }

    private double serviceMicros(ServerState s) {
        return s.serviceMicros() > 0 ? s.serviceMicros() : averageServiceMicros;
    }

    private double lateness(ServerState s) {
        long oldest = s.inFlight() == 0 ? 0 : s.oldestElapsedMicros(nowMicros);
        return oldest > LATE_FACTOR * averageServiceMicros ? oldest : 0;
    }
}
