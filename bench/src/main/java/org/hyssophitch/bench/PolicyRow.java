package org.hyssophitch.bench;

/**
 * Result of one run of a policy. Immutable.
 *
 * @param deployment deployment
 * @param scenario disturbance of the run
 * @param loadPercent share of the slots that the requests keep busy, in percent
 * @param policy routing policy
 * @param calls calls that ended
 * @param p50Millis median latency at the caller in milliseconds, critical services
 * @param p99Millis 99th percentile in milliseconds, critical services
 * @param p999Millis 99.9th percentile in milliseconds, critical services
 * @param bulkP99Millis 99th percentile in milliseconds, bulk services
 * @param refused calls whose last answer was not completed
 * @param runsPerCall requests that servers ran per call
 * @param inTargetPercent calls that were completed within their target, in percent
 * @param loadProbesPerCall questions for their load that servers got per call
 * @param violations violations of what must always hold
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
