package org.hyssophitch.bench.crash;

/**
 * A simulated fleet that gets a request which crashes every server that runs it, again and again. Immutable.
 *
 * @param hosts number of entry hosts
 * @param servers number of backend servers of the service
 * @param faults what else happens
 */
public record CrashPlan(int hosts, int servers, Faults faults) {

    /** What happens beside the crashing request. */
    public enum Faults {
        NONE,
        /** Hosts are killed one after the other and start again knowing nothing. */
        RESTARTS,
        /** A third of the datagrams between the hosts is lost. */
        LOSS,
        /** A fifth of the servers crashes for another reason, just before and again later. */
        MASS_CRASHES
    }
}
