package org.hyssophitch.core.control;

/**
 * One entry of the platform's host list, which may lag. Immutable.
 *
 * @param name name of an entry host or a backend server
 * @param agentAddress address of an entry host's agent; empty for a backend server
 * @param isLeaving whether the platform is about to stop the host
 */
public record ListedHost(String name, String agentAddress, boolean isLeaving) {}
