package org.hyssophitch.core.call;

import java.util.Optional;
import java.util.Set;

import org.hyssophitch.core.quota.QuotaTolerance;

/**
 * Settings of a call engine that are not part of the configuration document. Immutable.
 *
 * @param host name of this entry host
 * @param zone availability zone of this entry host
 * @param incarnation incarnation number of this process
 * @param maxBulkInFlight upper bound on the attempts of bulk services in flight; reserves capacity for critical calls
 * @param features enabled features
 * @param fleetLimits fleet-wide limits; empty when each service has its own budgets
 * @param quotaTolerance by how much the requests of a team may exceed its quota
 */
public record EngineSettings(
        String host,
        String zone,
        long incarnation,
        int maxBulkInFlight,
        Set<EngineFeature> features,
        Optional<FleetLimits> fleetLimits,
        QuotaTolerance quotaTolerance) {

    /** Default of {@link #maxBulkInFlight()}. */
    public static final int DEFAULT_MAX_BULK_IN_FLIGHT = 256;

    /** Creates settings with every feature, the default bulk limit and no fleet-wide limits. */
    public EngineSettings(String host, String zone, long incarnation) {
        this(
                host,
                zone,
                incarnation,
                DEFAULT_MAX_BULK_IN_FLIGHT,
                EngineFeature.all(),
                Optional.empty(),
                QuotaTolerance.NONE);
    }

    /** Creates settings without fleet-wide limits. */
    public EngineSettings(
            String host, String zone, long incarnation, int maxBulkInFlight, Set<EngineFeature> features) {
        this(host, zone, incarnation, maxBulkInFlight, features, Optional.empty(), QuotaTolerance.NONE);
    }

    /** Returns these settings with the given features, or this instance when nothing changes. */
    public EngineSettings withFeatures(Set<EngineFeature> value) {
        return value.equals(features)
                ? this
                : new EngineSettings(host, zone, incarnation, maxBulkInFlight, value, fleetLimits, quotaTolerance);
    }

    /** Returns these settings with the given fleet-wide limits. */
    public EngineSettings withFleetLimits(FleetLimits value) {
        return new EngineSettings(
                host, zone, incarnation, maxBulkInFlight, features, Optional.of(value), quotaTolerance);
    }

    /** Returns these settings with the given tolerance of quotas. */
    public EngineSettings withQuotaTolerance(QuotaTolerance value) {
        return new EngineSettings(host, zone, incarnation, maxBulkInFlight, features, fleetLimits, value);
    }

    boolean isOn(EngineFeature feature) {
        return features.contains(feature);
    }
}
