package org.hyssophitch.core.statement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Conditions of all backend server processes. Not thread-safe; confined to the call engine.
 *
 * <p>Names are unique to a process, so what an earlier process under the same id or address stated doesn't bind its
 * successor. Statements outlive the registration of their server: one that comes back, because the store was away or
 * was restored from a copy, is still bound by them.
 */
public final class ConditionTable {

    /** Time in microseconds for which the statements of a server without a registration are kept. */
    private static final long MEMORY_MICROS = 600_000_000;

    private final HostViews views = new HostViews();
    private final Map<String, ServerConditions> byServer = new HashMap<>();

    /** Returns the conditions of a server process, which are created if it has stated nothing yet. */
    public ServerConditions of(String server) {
        return byServer.computeIfAbsent(server, s -> new ServerConditions(s, views));
    }

    /** Returns the conditions of the servers that state a rate limit. */
    public List<ServerConditions> limited() {
        return byServer.values().stream()
                .filter(c -> c.limit().current().isPresent())
                .toList();
    }

    /** Returns the conditions of the servers that have a limit because they are cold. */
    public List<ServerConditions> cold(long nowMicros) {
        return byServer.values().stream()
                .filter(c -> c.cold().isLimited(nowMicros))
                .toList();
    }

    /** Returns the entry hosts that share the limits of cold servers. */
    public HostViews views() {
        return views;
    }

    /** Forgets servers that aren't registered and that no host has heard from for long. */
    public void retain(Set<String> registered, long nowMicros) {
        byServer.entrySet()
                .removeIf(e -> !registered.contains(e.getKey())
                        && nowMicros - e.getValue().heardMicros() > MEMORY_MICROS);
    }
}
