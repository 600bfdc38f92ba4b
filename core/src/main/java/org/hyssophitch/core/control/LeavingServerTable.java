package org.hyssophitch.core.control;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * The latest statement on each backend server's leaving, per source. Not thread-safe; owned by the agent engine.
 *
 * <p>A server counts as leaving while any source says so: a lagging host list doesn't overrule the server's own word.
 */
final class LeavingServerTable {

    /** Time in microseconds by which a denial has to be later than the statement that it takes back. */
    private static final long DENIAL_MARGIN_MICROS = 500_000;

    private final Map<String, LeavingNotice> notices = new TreeMap<>();

    /** Takes a statement; returns whether it changes what its source said. */
    boolean add(LeavingNotice n) {
        LeavingNotice known = notices.get(key(n));
        boolean isOlder = known != null && known.statedMicros() + margin(known, n) >= n.statedMicros();
        boolean isFirstDenial = known == null && !n.isLeaving();
        if (isOlder || isFirstDenial) {
            return false;
        }
        notices.put(key(n), n);
        return known == null || known.isLeaving() != n.isLeaving();
    }

    /** Returns whether a source's latest statement says that the server is leaving. */
    boolean isLeaving(String server, String source) {
        LeavingNotice known = notices.get(server + '|' + source);
        return known != null && known.isLeaving();
    }

    /** Returns the names of all leaving servers. */
    Set<String> leaving() {
        return notices.values().stream()
                .filter(LeavingNotice::isLeaving)
                .map(LeavingNotice::server)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    /** Returns every statement, for a newcomer. */
    List<LeavingNotice> all() {
        return List.copyOf(notices.values());
    }

    /** Forgets servers that the configuration doesn't name any more. */
    void retain(Collection<String> servers) {
        notices.values().removeIf(n -> !servers.contains(n.server()));
    }

    /** A denial has to be clearly later, since ages of reports passed on leave out the time on their way. */
    private static long margin(LeavingNotice known, LeavingNotice n) {
        return known.isLeaving() && !n.isLeaving() ? DENIAL_MARGIN_MICROS : 0;
    }

    private static String key(LeavingNotice n) {
        return n.server() + '|' + n.source();
    }
}
