package org.hyssophitch.bench;

/**
 * Control-plane cost per host at one fleet size. Immutable.
 *
 * @param hosts number of entry hosts
 * @param bytesPerSecond bytes per second that one host sends to other hosts
 * @param cpuMicrosPerSecond time in microseconds per second that one host's agent engine spends
 * @param largestDatagramBytes size of the largest datagram in bytes
 * @param inForceP50Millis median time in milliseconds from acceptance of a configuration until it is in force on a host
 * @param inForceMaxMillis longest such time in milliseconds over all hosts and changes
 * @param storeReadsPerSecond reads of the configuration object per second by all hosts together
 * @param watchers number of hosts that watch the configuration object
 */
public record ControlRow(
        int hosts,
        double bytesPerSecond,
        double cpuMicrosPerSecond,
        long largestDatagramBytes,
        double inForceP50Millis,
        double inForceMaxMillis,
        double storeReadsPerSecond,
        long watchers) {}
