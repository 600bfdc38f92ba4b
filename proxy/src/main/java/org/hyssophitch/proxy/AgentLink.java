package org.hyssophitch.proxy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import org.hyssophitch.core.atmostonce.IssuerView;
import org.hyssophitch.core.call.CallEvent;
import org.hyssophitch.core.configuration.RegisteredServer;
import org.hyssophitch.core.control.ProxyStatus;
import org.hyssophitch.core.control.ProxyUpdate;
import org.hyssophitch.core.load.LoadReport;
import org.hyssophitch.core.membership.Member;
import org.hyssophitch.core.membership.MemberState;
import org.hyssophitch.core.timeline.HybridClock;
import org.hyssophitch.wire.codec.ConfigurationCodec;
import org.hyssophitch.wire.codec.FrameCodec;
import org.hyssophitch.wire.concurrent.WallClock;
import org.hyssophitch.wire.generated.Wire;
import org.hyssophitch.wire.net.Addresses;
import org.hyssophitch.wire.net.FrameChannels;
import org.tinylog.Logger;

/**
 * The proxy's connection to its local agent: sends the proxy's status periodically, receives configurations and
 * updates, and reconnects when the connection is lost. Not thread-safe; confined to the event loop from
 * {@link #start} until {@link #close}.
 *
 * <p>While the agent is unreachable, the proxy keeps working with the last state that it received.
 */
final class AgentLink implements FrameChannels.Receiver {

    private static final long STATUS_PERIOD_MILLIS = 200;

    private final String address;
    private final EventLoop loop;
    private final Consumer<CallEvent> eventSink;
    private final HybridClock clock;
    private final Supplier<ProxyStatus> status;
    private final Map<String, String> proxyAddresses = new HashMap<>();
    private final Map<String, RegisteredServer> registeredServers = new TreeMap<>();
    private Map<String, String> zoneByHost = Map.of();
    private Channel channel;
    private boolean isConnecting;
    private ScheduledFuture<?> statusTimer;

    AgentLink(
            String address,
            EventLoop loop,
            Consumer<CallEvent> eventSink,
            HybridClock clock,
            Supplier<ProxyStatus> status) {
        this.address = address;
        this.loop = loop;
        this.eventSink = eventSink;
        this.clock = clock;
        this.status = status;
    }

    void start() {
        statusTimer = loop.scheduleWithFixedDelay(this::sendStatus, 0, STATUS_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Stops the periodic status messages and sends the final status. */
    void close() {
        statusTimer.cancel(false);
        sendStatus();
    }

    /** Returns the address at which callers reach an entry host, or an empty string if it is unknown. */
    String proxyAddress(String host) {
        return proxyAddresses.getOrDefault(host, "");
    }

    @Override
    public void onFrame(Channel from, Wire.Frame frame) {
        long now = WallClock.nowMicros();
        clock.observe(FrameCodec.clock(frame), now);
        switch (frame.getBodyCase()) {
            case CONFIGURATION ->
                eventSink.accept(
                        new CallEvent.ConfigurationAccepted(now, ConfigurationCodec.decode(frame.getConfiguration())));
            case PROXY_UPDATE -> onUpdate(FrameCodec.decode(frame.getProxyUpdate()), now);
            default -> from.close();
        }
    }

    @Override
    public void onClose(Channel closed) {
        channel = null;
    }

    private void sendStatus() {
        if (channel != null) {
            channel.writeAndFlush(FrameCodec.encode(status.get(), clock.tick(WallClock.nowMicros())));
        } else if (!isConnecting) {
            connect();
        }
    }

    private void connect() {
        isConnecting = true;
        FrameChannels.connect(loop, Addresses.parse(address), this).whenComplete((opened, failure) -> {
            isConnecting = false;
            if (failure == null) {
                channel = opened;
                Logger.info("connected to agent {}", address);
            } else {
                Logger.debug("failed to connect to agent {}: {}", address, failure.toString());
            }
        });
    }

    private void onUpdate(ProxyUpdate u, long now) {
        u.members().forEach(m -> proxyAddresses.put(m.host(), m.proxyAddress()));
        eventSink.accept(new CallEvent.TicketIssuersChanged(now, ticketIssuers(u.members())));
        onHosts(u.members(), now);
        eventSink.accept(new CallEvent.LeavingChanged(now, u.leaving(), "agent"));
        u.registrations().ifPresent(r -> onRegistrations(r, now));
        if (!u.loads().isEmpty()) {
            List<LoadReport> loads =
                    u.loads().stream().map(l -> l.toLoadReport(now)).toList();
            eventSink.accept(new CallEvent.LoadReportsReceived(now, loads));
        }
        if (!u.suspicions().isEmpty()) {
            eventSink.accept(new CallEvent.SuspicionsReceived(now, u.suspicions()));
        }
    }

    /** An update lists all members; hosts that left no longer share the limits that servers state. */
    private void onHosts(List<Member> members, long now) {
        Map<String, String> known = members.stream()
                .filter(m -> m.state() != MemberState.LEFT)
                .collect(Collectors.toMap(Member::host, Member::zone));
        if (!known.equals(zoneByHost)) {
            zoneByHost = known;
            eventSink.accept(new CallEvent.HostsChanged(now, known));
        }
    }

    private void onRegistrations(ProxyUpdate.Registrations r, long now) {
        r.applyTo(registeredServers);
        eventSink.accept(new CallEvent.ServersRegistered(
                now, registeredServers.values().stream().collect(Collectors.groupingBy(RegisteredServer::service))));
    }

    private static IssuerView ticketIssuers(List<Member> members) {
        Map<String, Long> live = members.stream()
                .filter(Member::isLive)
                .collect(Collectors.toMap(Member::host, Member::proxyIncarnation));
        return host -> live.getOrDefault(host, IssuerView.GONE);
    }
}
