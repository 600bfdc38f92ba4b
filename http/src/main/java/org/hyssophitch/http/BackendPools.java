package org.hyssophitch.http;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import io.netty.channel.EventLoop;
import org.hyssophitch.core.configuration.BackendServer;

/** Connections to all backend servers, by the server's name. Not thread-safe; lives on one event loop. */
final class BackendPools {

    private final EventLoop loop;
    private final Map<String, BackendPool> pools = new HashMap<>();

    BackendPools(EventLoop loop) {
        this.loop = loop;
    }

    /** Returns the connections to a server; those to an address that it had before end. */
    BackendPool of(BackendServer server) {
        BackendPool known = pools.get(server.name());
        if (known != null && known.hasAddressOf(server)) {
            return known;
        }
        if (known != null) {
            known.close();
        }
        BackendPool fresh = new BackendPool(server, loop);
        pools.put(server.name(), fresh);
        return fresh;
    }

    /** Closes the connections to servers that are not known any more; requests in progress finish. */
    void retain(Set<String> names) {
        pools.entrySet().removeIf(e -> {
            boolean isGone = !names.contains(e.getKey());
            if (isGone) {
                e.getValue().close();
            }
            return isGone;
        });
    }

    int connections() {
        return pools.values().stream().mapToInt(BackendPool::connections).sum();
    }
}
