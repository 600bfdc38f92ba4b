package org.hyssophitch.core.store;

/**
 * Failure of a step of a watch inside this host. Immutable.
 *
 * @param kind name of the kind of objects
 * @param step what the watcher did or waited for
 * @param cause why it failed: the class of what was thrown, or that the step was overdue
 * @param silentMicros time in microseconds since the host last took over what the store said about the kind
 */
public record WatchFailure(String kind, String step, String cause, long silentMicros) {}
