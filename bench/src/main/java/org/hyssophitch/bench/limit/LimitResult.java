package org.hyssophitch.bench.limit;

/**
 * Result of one simulation. Immutable.
 *
 * @param worstExcess requests by which the worst window of any limited server exceeds what its limit allows; negative
 *     if no window does
 * @param shareUsed smallest fraction of a limit that was used while it was in force
 * @param shareServed fraction of the requests that were answered
 * @param messagesPerHostAndSecond gossip messages about limits per host and second
 */
public record LimitResult(double worstExcess, double shareUsed, double shareServed, double messagesPerHostAndSecond) {}
