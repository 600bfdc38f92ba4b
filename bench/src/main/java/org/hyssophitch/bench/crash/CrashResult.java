package org.hyssophitch.bench.crash;

/**
 * Result of one simulation. Immutable.
 *
 * @param crashes servers that the request crashed
 * @param lateRetries times that the request was sent to a server once the stability window after the third crash was
 *     over, by hosts that had not just been started
 * @param refusedOthers other requests that were refused because they were taken for crashing ones
 */
public record CrashResult(int crashes, int lateRetries, int refusedOthers) {}
