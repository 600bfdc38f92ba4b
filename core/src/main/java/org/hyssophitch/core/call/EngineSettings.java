package org.hyssophitch.core.call;

import java.util.Optional;
import java.util.Set;

/**
 * Settings of a call engine that don't come from the configuration document. Immutable.
 *
 * @param host name of this entry host
 * @param zone availability zone of this entry host
 * @param incarnation incarnation of this process
 * @param maxBulkInFlight attempts of bulk services in flight at the same time, so that critical calls find room
 * @param features behaviour that is switched on
 * @param fleetLimits limits that all entry hosts keep together; empty where each service has budgets of its own
 */
public record EngineSettings(
        String host,
        String zone,
        long incarnation,
        int maxBulkInFlight,
        Set<EngineFeature> features,
        Optional<FleetLimits> fleetLimits) {

    /** Default of {@link #maxBulkInFlight()}. */
    public static final int DEFAULT_MAX_BULK_IN_FLIGHT = 256;

    /** Creates settings with the default bound on bulk attempts. */
    public EngineSettings(String host, String zone, long incarnation) {
        this(host, zone, incarnation, DEFAULT_MAX_BULK_IN_FLIGHT, EngineFeature.all(), Optional.empty());
    }

    /** Creates settings without limits that all entry hosts keep together. */
    public EngineSettings(
            String host, String zone, long incarnation, int maxBulkInFlight, Set<EngineFeature> features) {
        this(host, zone, incarnation, maxBulkInFlight, features, Optional.empty());
    }

    /** Returns these settings with other features, or this instance when nothing changes. */
    public EngineSettings withFeatures(Set<EngineFeature> value) {
        return value.equals(features)
                ? this
                : new EngineSettings(host, zone, incarnation, maxBulkInFlight, value, fleetLimits);
    }

    /** Returns these settings with limits that all entry hosts keep together. */
    public EngineSettings withFleetLimits(FleetLimits value) {
        return new EngineSettings(host, zone, incarnation, maxBulkInFlight, features, Optional.of(value));
    }

    boolean isOn(EngineFeature feature) {
        return features.contains(feature);
    }
}
