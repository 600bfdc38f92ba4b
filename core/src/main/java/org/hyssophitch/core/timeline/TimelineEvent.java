package org.hyssophitch.core.timeline;

/**
 * One recorded event. Immutable.
 *
 * @param at hybrid logical timestamp
 * @param process name of the recording process
 * @param zone availability zone of the recording process
 * @param requestId request that the event belongs to, or empty
 * @param body what happened
 */
public record TimelineEvent(HybridTimestamp at, String process, String zone, String requestId, EventBody body) {}
