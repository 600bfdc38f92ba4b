package org.hyssophitch.entry;

import java.util.concurrent.TimeUnit;

import org.hyssophitch.core.call.ColdBound;
import org.hyssophitch.core.call.FleetLimits;
import org.hyssophitch.core.entry.EntrySettings.Bounds;
import org.hyssophitch.core.quota.QuotaTolerance;

/** Converts the bounds in a host's settings to the limits that its call engine keeps. Stateless. */
final class EngineLimits {

    /** Minimum number of entry hosts assumed when this host computes its share of fleet-wide limits. */
    private static final int MIN_HOSTS = 13;

    private static final double MILLIS_PER_SECOND = 1_000;

    private EngineLimits() {}

    static FleetLimits fleet(Bounds b) {
        return new FleetLimits(
                b.extraAttemptRatio(),
                b.extraAttemptAllowance(),
                TimeUnit.MILLISECONDS.toMicros(b.extraAttemptWindowMillis()),
                b.loadProbesPerSecond(),
                MIN_HOSTS);
    }

    static ColdBound cold(Bounds b) {
        return new ColdBound(b.zones().coldOverage(), b.zones().coldSlack());
    }

    static QuotaTolerance quotas(Bounds b) {
        return new QuotaTolerance(
                b.quotas().windowMillis() / MILLIS_PER_SECOND,
                b.quotas().overage(),
                b.quotas().slack());
    }
}
