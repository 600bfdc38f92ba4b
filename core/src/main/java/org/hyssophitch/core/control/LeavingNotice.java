package org.hyssophitch.core.control;

/**
 * Notice that a backend server is leaving, or is no longer leaving. Immutable.
 *
 * @param server backend server
 * @param isLeaving whether the server is leaving and must get no new calls
 * @param statedMicros creation time of the notice in microseconds since the epoch; the latest notice wins
 * @param source origin of the notice: {@code platform}, {@code report} or {@code operator}
 */
public record LeavingNotice(String server, boolean isLeaving, long statedMicros, String source) {}
