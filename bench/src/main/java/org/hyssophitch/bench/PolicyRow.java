package org.hyssophitch.bench;

/**
 * Result of one benchmark run of a routing policy. Immutable.
 *
 * @param deployment modelled deployment
 * @param scenario disturbance during the run
 * @param loadPercent average utilization of the server slots, in percent
 * @param policy routing policy
 * @param calls number of calls that ended
 * @param p50Millis median latency at the caller in milliseconds, critical services
 * @param p99Millis 99th percentile in milliseconds, critical services
 * @param p999Millis 99.9th percentile in milliseconds, critical services
 * @param bulkP99Millis 99th percentile in milliseconds, bulk services
 * @param refused number of calls whose last attempt did not complete
 * @param runsPerCall executions on backend servers per call
 * @param inTargetPercent calls completed within their target latency, in percent
 * @param loadProbesPerCall load probes that servers received per call
 * @param violations number of violations of the correctness invariants
 */
public record PolicyRow(
        String deployment,
        String scenario,
        int loadPercent,
        String policy,
        long calls,
        double p50Millis,
        double p99Millis,
        double p999Millis,
        double bulkP99Millis,
        long refused,
        double runsPerCall,
        double inTargetPercent,
        double loadProbesPerCall,
        long violations) {}
