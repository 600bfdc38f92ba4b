package org.hyssophitch.core.quota;

import java.util.List;

/**
 * Token request of a host to the owner of a team's quota. Immutable.
 *
 * @param team name of the team
 * @param sequence sequence number; a repetition has the same one, so that it isn't granted twice
 * @param need tokens for calls that wait for them
 * @param want further tokens, for calls that are expected soon
 * @param leaving hosts that come first in the order of owners and that answered that they are leaving
 * @param incarnation incarnation of the asking process, whose sequence numbers start anew
 */
public record QuotaAsk(String team, long sequence, int need, int want, List<String> leaving, long incarnation) {

    /** Copies the hosts. */
    public QuotaAsk {
        leaving = List.copyOf(leaving);
    }
}
