package org.hyssophitch.core.control;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * The latest leaving notice for each backend server and source. Not thread-safe; owned by the agent engine.
 *
 * <p>A server counts as leaving while at least one source says so, because a stale host list must not override the
 * server's own load report.
 */
final class LeavingServerTable {

    /** Minimum time in microseconds between a notice that a server leaves and a notice that revokes it. */
    private static final long REVOCATION_MARGIN_MICROS = 500_000;

    private final Map<String, LeavingNotice> notices = new TreeMap<>();

    /** Adds a notice; returns whether it changes the state that its source reports. */
    boolean add(LeavingNotice n) {
        LeavingNotice known = notices.get(key(n));
        boolean isOlder = known != null && known.statedMicros() + margin(known, n) >= n.statedMicros();
        boolean isRevocationOfNothing = known == null && !n.isLeaving();
        if (isOlder || isRevocationOfNothing) {
            return false;
        }
        notices.put(key(n), n);
        return known == null || known.isLeaving() != n.isLeaving();
    }

    /** Returns whether the latest notice of the source says that the server is leaving. */
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

    /** Returns all notices, to be sent to agents that missed earlier ones. */
    List<LeavingNotice> all() {
        return List.copyOf(notices.values());
    }

    /** Removes the notices for all servers except the given ones. */
    void retain(Collection<String> servers) {
        notices.values().removeIf(n -> !servers.contains(n.server()));
    }

    /** Requires a margin for a revocation, because the age of a forwarded load report excludes its transit time. */
    private static long margin(LeavingNotice known, LeavingNotice n) {
        return known.isLeaving() && !n.isLeaving() ? REVOCATION_MARGIN_MICROS : 0;
    }

    private static String key(LeavingNotice n) {
        return n.server() + '|' + n.source();
    }
}
