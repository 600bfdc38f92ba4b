package org.hyssophitch.core.configuration;

/**
 * Budget for probes that measure the load of backend servers. Immutable.
 *
 * @param probesPerSecondPerServer maximum rate of probes to one backend server from all entry hosts together
 * @param probesPerSecondTotal maximum rate of probes over the whole system
 * @param bytesPerSecondTotal maximum bytes per second of probes and their responses over the whole system
 */
public record ProbeBudget(double probesPerSecondPerServer, double probesPerSecondTotal, int bytesPerSecondTotal) {

    /** Budget used when the configuration document defines none. */
    public static final ProbeBudget DEFAULT = new ProbeBudget(2, 40, 20_000);
}
