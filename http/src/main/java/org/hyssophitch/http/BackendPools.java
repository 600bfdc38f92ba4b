package org.hyssophitch.http;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import org.hyssophitch.core.call.CallEvent;
import org.hyssophitch.core.configuration.BackendServer;

/** Connection pools of all backend servers, by server name. Not thread-safe; confined to one event loop. */
final class BackendPools {

    private final EventLoop loop;
    private final Consumer<CallEvent> events;
    private final Map<String, BackendPool> pools = new HashMap<>();

    /**
     * Creates the pools without a connection.
     *
     * @param events receives what is noticed about the answers of the servers
     */
    BackendPools(EventLoop loop, Consumer<CallEvent> events) {
        this.loop = loop;
        this.events = events;
    }

    /** Returns the pool of a server. If the server's address has changed, the pool of the old address is closed. */
    BackendPool of(BackendServer server) {
        BackendPool existing = pools.get(server.name());
        if (existing != null && existing.hasAddressOf(server)) {
            return existing;
        }
        if (existing != null) {
            existing.close();
        }
        BackendPool created = new BackendPool(server, loop, events);
        pools.put(server.name(), created);
        return created;
    }

    /** Closes the pools of all servers except the given ones; requests in progress complete. */
    void retain(Set<String> names) {
        pools.entrySet().removeIf(e -> {
            boolean isRemoved = !names.contains(e.getKey());
            if (isRemoved) {
                e.getValue().close();
            }
            return isRemoved;
        });
    }

    int connections() {
        return pools.values().stream().mapToInt(BackendPool::connections).sum();
    }
}
