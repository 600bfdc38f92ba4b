package org.hyssophitch.core.configuration;

/**
 * Budget for measuring the load of backend servers. Immutable.
 *
 * @param probesPerSecondPerServer probes that one backend server may receive per second from all entry hosts together
 * @param probesPerSecondTotal probes that the whole system may send per second
 * @param bytesPerSecondTotal bytes of probes and their answers that the whole system may cause per second
 */
public record ProbeBudget(double probesPerSecondPerServer, double probesPerSecondTotal, int bytesPerSecondTotal) {

    /** Budget used when the document names none. */
    public static final ProbeBudget DEFAULT = new ProbeBudget(2, 40, 20_000);
}
