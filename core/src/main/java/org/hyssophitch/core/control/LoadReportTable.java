package org.hyssophitch.core.control;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.hyssophitch.core.load.LoadReport;

/**
 * The latest load report of each known backend server. Not thread-safe; owned by the agent engine.
 */
final class LoadReportTable {

    /** Age in microseconds at which a report is too old to be sent to other agents. */
    private static final long STALE_MICROS = 2_000_000;

    private final Map<String, LoadReport> reports = new HashMap<>();
    private final Set<String> changed = new HashSet<>();

    /** Adds a report; returns whether it is newer than the known report of the same server. */
    boolean add(LoadReport r) {
        LoadReport known = reports.get(r.server());
        if (known != null && known.takenMicros() >= r.takenMicros()) {
            return false;
        }
        reports.put(r.server(), r);
        changed.add(r.server());
        return true;
    }

    /** Returns the most recent reports, for a datagram. */
    List<AgedLoadReport> freshest(int maxCount, long nowMicros) {
        return reports.values().stream()
                .filter(r -> r.ageMicros(nowMicros) < STALE_MICROS)
                .sorted(Comparator.comparingLong(LoadReport::takenMicros).reversed())
                .limit(maxCount)
                .map(r -> AgedLoadReport.of(r, nowMicros))
                .toList();
    }

    /** Returns the reports that changed since the last call, for the local proxy. */
    List<AgedLoadReport> takeChanged(long nowMicros) {
        List<AgedLoadReport> taken = changed.stream()
                .sorted()
                .map(reports::get)
                .map(r -> AgedLoadReport.of(r, nowMicros))
                .toList();
        changed.clear();
        return taken;
    }

    /** Removes the reports of all servers except the given ones. */
    void retain(Collection<String> servers) {
        reports.keySet().retainAll(servers);
        changed.retainAll(servers);
    }
}
