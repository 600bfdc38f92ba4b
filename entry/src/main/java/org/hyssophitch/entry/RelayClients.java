package org.hyssophitch.entry;

import java.util.LinkedHashMap;
import java.util.Map;

import io.netty.channel.EventLoop;
import org.hyssophitch.core.membership.Member;
import org.hyssophitch.http.TcpKeepAlive;
import org.hyssophitch.wire.net.Addresses;
import org.hyssophitch.wire.net.HttpClient;

/** HTTP clients of the relays used last, by address. Not thread-safe; confined to the event loop. */
final class RelayClients {

    /** Maximum number of clients kept; the connections of the one used longest ago are closed. */
    private static final int MAX_CLIENTS = 8;

    private static final int CONNECT_TIMEOUT_MILLIS = 300;

    private final EventLoop loop;
    private final Map<String, HttpClient> clients = new LinkedHashMap<>(MAX_CLIENTS, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, HttpClient> eldest) {
            boolean isOver = size() > MAX_CLIENTS;
            if (isOver) {
                eldest.getValue().close();
            }
            return isOver;
        }
    };

    RelayClients(EventLoop loop) {
        this.loop = loop;
    }

    /** Returns the client of a relay. */
    HttpClient of(Member relay) {
        return clients.computeIfAbsent(
                relay.agentAddress(),
                a -> new HttpClient(loop, Addresses.parse(a), CONNECT_TIMEOUT_MILLIS, TcpKeepAlive::enable));
    }
}
