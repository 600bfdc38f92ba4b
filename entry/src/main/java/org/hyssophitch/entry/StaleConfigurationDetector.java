package org.hyssophitch.entry;

import java.util.List;

import org.hyssophitch.core.membership.Member;

/**
 * Detects that this host's connection to the store no longer delivers changes although the store is available: a peer
 * has a newer configuration in two consecutive checks. Not thread-safe.
 */
final class StaleConfigurationDetector {

    private List<Member> lastLive = List.of();
    private long newestVersion;
    private boolean wasBehind;

    /**
     * Checks once; a detected state is reported once for each two checks.
     *
     * @param live live members; the same list as long as none of them changes
     * @param version version of the configuration in force on this host
     */
    boolean isStale(List<Member> live, long version) {
        if (live != lastLive) {
            lastLive = live;
            newestVersion =
                    live.stream().mapToLong(Member::configurationVersion).max().orElse(0);
        }
        boolean isBehind = newestVersion > version;
        boolean isStale = isBehind && wasBehind;
        wasBehind = isBehind && !wasBehind;
        return isStale;
    }
}
