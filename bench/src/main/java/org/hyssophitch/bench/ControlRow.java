package org.hyssophitch.bench;

/**
 * Cost of control per host at one fleet size. Immutable.
 *
 * @param hosts number of entry hosts
 * @param bytesPerSecond bytes that one host sends to others per second
 * @param cpuMicrosPerSecond time in microseconds that one host's agent engine spends per second
 * @param largestDatagramBytes size of the largest datagram in bytes
 * @param inForceP50Millis median time in milliseconds until a host has an accepted configuration in force
 * @param inForceMaxMillis longest such time in milliseconds
 * @param storeReadsPerSecond reads of the configuration object per second, all hosts together
 * @param watchers hosts that watch the configuration object
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
