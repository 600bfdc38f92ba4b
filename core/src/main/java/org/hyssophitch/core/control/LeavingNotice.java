package org.hyssophitch.core.control;

/**
 * Statement that a backend server is leaving, or is not leaving any more. Immutable.
 *
 * @param server backend server
 * @param isLeaving whether it gets no new work
 * @param statedMicros when its origin stated it, in microseconds since the epoch; the latest statement counts
 * @param source who stated it: {@code platform}, {@code report} or {@code operator}
 */
public record LeavingNotice(String server, boolean isLeaving, long statedMicros, String source) {}
