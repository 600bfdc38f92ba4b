package org.hyssophitch.core.routing;

import java.util.List;

import org.hyssophitch.core.timeline.EventBody.CandidateView;

/**
 * Result of one choice. Immutable.
 *
 * @param server the chosen server
 * @param candidates what was known of each candidate that was looked at; empty unless details were wanted
 */
public record Choice(ServerState server, List<CandidateView> candidates) {}
