package org.hyssophitch.core.timeline;

/**
 * One event of the timeline. Immutable.
 *
 * @param at hybrid logical timestamp
 * @param process name of the recording process
 * @param zone availability zone of the recording process
 * @param requestId id of the request that the event belongs to, or empty
 * @param body type-specific content
 */
public record TimelineEvent(HybridTimestamp at, String process, String zone, String requestId, EventBody body) {}
