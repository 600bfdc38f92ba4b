package org.hyssophitch.core.routing;

import org.hyssophitch.core.configuration.Service;

/** Policy for choosing a backend server among the eligible candidates. All implementations are immutable. */
public sealed interface RoutingPolicy {

    /** Chooses a random candidate with uniform probability. */
    record Uniform() implements RoutingPolicy {}

    /** Chooses the candidates in turn. */
    record RoundRobin() implements RoutingPolicy {}

    /** Chooses the candidate with the fewest attempts of this entry host in flight. */
    record LeastInFlight() implements RoutingPolicy {}

    /** Chooses, of two random candidates, the one with fewer attempts of this entry host in flight. */
    record PowerOfTwo() implements RoutingPolicy {}

    /**
     * Chooses, of several random candidates, the one with the lowest load by this entry host's attempts in flight and
     * the load reports; the weight of a report decays with its age.
     *
     * @param sampleSize number of candidates compared
     */
    record PowerOfD(int sampleSize) implements RoutingPolicy {}

    /**
     * Chooses, of several random candidates, the one with the lowest latency estimated by {@link DelayEstimator}.
     *
     * @param sampleSize number of candidates compared
     * @param zone availability zone of this entry host
     */
    record EstimatedDelay(int sampleSize, String zone) implements RoutingPolicy {}

    /**
     * Probes several candidates for their load when a call arrives and chooses the one that is expected to finish the
     * call first; the call waits while none has room.
     *
     * @param sampleSize number of candidates probed
     * @param zone availability zone of this entry host
     */
    record AskedLoad(int sampleSize, String zone) implements RoutingPolicy {}

    /**
     * Creates the policy for the routing setting of a service.
     *
     * @param service the service
     * @param zone availability zone of this entry host
     */
    static RoutingPolicy of(Service service, String zone) {
        return switch (service.routing()) {
            case UNIFORM -> new Uniform();
            case ROUND_ROBIN -> new RoundRobin();
            case LEAST_IN_FLIGHT -> new LeastInFlight();
            case POWER_OF_TWO -> new PowerOfTwo();
            case POWER_OF_D -> new PowerOfD(Math.min(POWER_OF_D_SAMPLES, service.sampleSize()));
            case ESTIMATED_DELAY -> new EstimatedDelay(service.sampleSize(), zone);
            case ASKED_LOAD -> new AskedLoad(Math.min(ASKED_LOAD_SAMPLES, service.sampleSize()), zone);
        };
    }

    /** Maximum number of candidates that {@link PowerOfD} compares. */
    int POWER_OF_D_SAMPLES = 3;

    /** Maximum number of candidates that {@link AskedLoad} probes. */
    int ASKED_LOAD_SAMPLES = 6;
}
