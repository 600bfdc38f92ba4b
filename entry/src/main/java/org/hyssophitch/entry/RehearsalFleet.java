package org.hyssophitch.entry;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import io.netty.channel.EventLoopGroup;
import org.hyssophitch.core.control.AgedLimitNews;
import org.hyssophitch.core.control.AgentMessage;
import org.hyssophitch.core.entry.EntrySettings;
import org.hyssophitch.core.membership.Heartbeat;
import org.hyssophitch.core.membership.Member;
import org.hyssophitch.core.membership.MemberState;
import org.hyssophitch.core.statement.ServerStatement.RateLimit;
import org.hyssophitch.core.timeline.HybridClock;
import org.hyssophitch.wire.codec.AgentMessageCodec;
import org.hyssophitch.wire.concurrent.WallClock;
import org.hyssophitch.wire.net.DatagramEndpoint;

/**
 * The other entry hosts of the training run: enough members that hosts read the store through relays. All have the
 * address of one running host, which answers their heartbeats and relays. Not thread-safe.
 */
final class RehearsalFleet implements AutoCloseable {

    /** Number of members; above the size from which a fleet has relays. */
    private static final int HOSTS = 20;

    /** Name of a host that is no relay of this fleet; {@code host-1} is one, by the hashes of the names. */
    static final String RELAYED_HOST = "host-2";

    private final DatagramEndpoint endpoint;
    private final HybridClock clock = new HybridClock();

    RehearsalFleet(EventLoopGroup group, int port) {
        endpoint = new DatagramEndpoint(group, new InetSocketAddress("127.0.0.1", port), d -> {});
    }

    /** Tells a running host of all members, as if each of them had sent it a heartbeat. */
    void announce(EntrySettings to, EntrySettings running) {
        String peer = running.addresses().peers();
        members(peer, running.addresses().front()).stream()
                .filter(m -> !m.host().equals(to.host()))
                .forEach(m -> send(to, m));
    }

    private void send(EntrySettings to, Member m) {
        Heartbeat ping =
                new Heartbeat(Heartbeat.Kind.PING, 1, to.host(), to.addresses().peers(), "");
        AgedLimitNews limit = new AgedLimitNews("rehearsed", Optional.of(new RateLimit(1)), 0);
        AgentMessage message = AgentMessage.builder(m)
                .heartbeat(Optional.of(ping))
                .members(List.of(m))
                .limits(List.of(limit))
                .build();
        endpoint.send(to.addresses().peers(), AgentMessageCodec.encode(message, clock.tick(WallClock.nowMicros())));
    }

    static List<Member> members(String peer, String front) {
        return IntStream.rangeClosed(1, HOSTS)
                .mapToObj(i -> new Member("host-" + i, 1, 1, MemberState.ALIVE, "z", peer, front, 1, true, 0, 0))
                .toList();
    }

    @Override
    public void close() {
        endpoint.close();
    }
}
