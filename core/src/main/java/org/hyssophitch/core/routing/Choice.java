package org.hyssophitch.core.routing;

import java.util.List;

import org.hyssophitch.core.timeline.EventBody.CandidateView;

/**
 * Result of choosing a backend server. Immutable.
 *
 * @param server chosen server
 * @param candidates state of each considered candidate; empty unless details were requested
 */
public record Choice(ServerState server, List<CandidateView> candidates) {}
