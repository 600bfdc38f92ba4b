package org.hyssophitch.core.routing;

import org.hyssophitch.core.configuration.Service;

/** How a backend server is chosen among the eligible candidates. Every policy is immutable. */
public sealed interface RoutingPolicy {

    /** Any candidate with equal probability. */
    record Uniform() implements RoutingPolicy {}

    /** The candidates in turn. */
    record RoundRobin() implements RoutingPolicy {}

    /** The candidate with the fewest attempts of this entry host in flight. */
    record LeastInFlight() implements RoutingPolicy {}

    /** The one of two random candidates with fewer attempts of this entry host in flight. */
    record PowerOfTwo() implements RoutingPolicy {}

    /**
     * The one of several random candidates with the least reported load; an old report counts less.
     *
     * @param sampleSize number of candidates compared
     */
    record PowerOfD(int sampleSize) implements RoutingPolicy {}

    /**
     * The one of several random candidates with the smallest estimated delay.
     *
     * @param sampleSize number of candidates compared
     * @param zone availability zone of this entry host
     */
    record EstimatedDelay(int sampleSize, String zone) implements RoutingPolicy {}

    /**
     * The one of several candidates that will finish first by the load that each tells when it is asked, at the moment
     * at which the call arrives; the call waits while none has room.
     *
     * @param sampleSize number of candidates asked
     * @param zone availability zone of this entry host
     */
    record AskedLoad(int sampleSize, String zone) implements RoutingPolicy {}

    /**
     * Returns the policy that a service's rule names.
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

    /** Number of candidates that {@link PowerOfD} compares by default. */
    int POWER_OF_D_SAMPLES = 3;

    /** Number of candidates that {@link AskedLoad} asks by default. */
    int ASKED_LOAD_SAMPLES = 6;
}
