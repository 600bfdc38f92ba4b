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

    /** Age, in service times, at which a report has lost 63% of its weight. */
    private static final double REPORT_FADE = 0.5;
    /** Multiple of the usual service time below which a difference counts as noise. */
    private static final double SLOW_FACTOR = 2;
    /** Weight of the server's use below its slots, which spreads load before anything waits. */
    private static final double SPREAD_WEIGHT = 1;
    /** Added delay in microseconds of a server in another availability zone. */
    private static final double ZONE_MICROS = 1_000;
    /** Service time in microseconds assumed before any sample. */
    private static final double UNKNOWN_SERVICE_MICROS = 5_000;
    /** Multiple of the usual service time from which on an attempt in flight counts as late. */
    private static final double LATE_FACTOR = 4;

    private final String zone;
    private final long nowMicros;
    private final double averageOthers;
    private final double usualServiceMicros;

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
        this.usualServiceMicros = median(candidates);
    }

    /** Returns the estimated delay in microseconds of one more attempt at the server. */
    public double estimate(ServerState s) {
        int slots = Math.max(1, s.server().slots());
        double present = s.inFlight() + others(s);
        double service = Math.max(serviceMicros(s), lateness(s));
        double waiting = Math.max(0, present + 1 - slots);
        double spread = present / slots;
        double zoneCost = s.server().zone().equals(zone) ? 0 : ZONE_MICROS;
        return service * (1 + waiting / slots + spread * SPREAD_WEIGHT) + zoneCost;
    }

    private double others(ServerState s) {
        return s.report()
                .map(r -> {
                    double weight = Math.exp(-r.ageMicros(nowMicros) / (REPORT_FADE * usualServiceMicros));
                    return weight * s.othersAtReport() + (1 - weight) * averageOthers;
                })
                .orElse(averageOthers);
    }

    private double serviceMicros(ServerState s) {
        boolean isSlow = s.serviceMicros() > SLOW_FACTOR * usualServiceMicros;
        return isSlow ? s.serviceMicros() : usualServiceMicros;
    }

    private double lateness(ServerState s) {
        long oldest = s.inFlight() == 0 ? 0 : s.oldestElapsedMicros(nowMicros);
        return oldest > LATE_FACTOR * usualServiceMicros ? oldest : 0;
    }

    private static double median(List<ServerState> candidates) {
        double[] known = candidates.stream()
                .mapToDouble(ServerState::serviceMicros)
                .filter(m -> m > 0)
                .sorted()
                .toArray();
        return known.length == 0 ? UNKNOWN_SERVICE_MICROS : known[known.length / 2];
    }
}
