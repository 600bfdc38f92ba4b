package org.hyssophitch.proxy;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.schedulers.Schedulers;
import org.hyssophitch.core.atmostonce.IssuerView;
import org.hyssophitch.core.call.CallEvent;
import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.control.ProxyStatus;
import org.hyssophitch.core.control.ProxyUpdate;
import org.hyssophitch.core.load.LoadReport;
import org.hyssophitch.core.membership.Member;
import org.hyssophitch.core.timeline.HybridClock;
import org.hyssophitch.wire.codec.ConfigurationCodec;
import org.hyssophitch.wire.codec.FrameCodec;
import org.hyssophitch.wire.duty.WallClock;
import org.hyssophitch.wire.generated.Wire;
import org.hyssophitch.wire.net.Addresses;
import org.hyssophitch.wire.net.EventLoops;
import org.hyssophitch.wire.net.FrameChannels;
import org.tinylog.Logger;

/**
 * The proxy's connection to its local agent. Thread-safe; runs from {@link #start} until {@link #close}.
 *
 * <p>While the agent is away the proxy goes on with what it knows.
 */
final class AgentLink implements FrameChannels.Receiver, AutoCloseable {

    private static final long PERIOD_MILLIS = 200;

    private final String address;
    private final CallDecisions decisions;
    private final HybridClock clock;
    private final Supplier<ProxyStatus> status;
    private final EventLoopGroup group = EventLoops.create(1);
    private final Map<String, String> proxyAddresses = new ConcurrentHashMap<>();
    private volatile Channel channel;
    private volatile boolean isConnecting;
    private Disposable ticks = Disposable.disposed();

    AgentLink(String address, CallDecisions decisions, HybridClock clock, Supplier<ProxyStatus> status) {
        this.address = address;
        this.decisions = decisions;
        this.clock = clock;
        this.status = status;
    }

    void start() {
        ticks = Flowable.interval(0, PERIOD_MILLIS, TimeUnit.MILLISECONDS, Schedulers.single())
                .onBackpressureDrop()
                .subscribe(n -> tick());
    }

    /** Returns the address at which callers reach an entry host, or an empty text when it is not known. */
    String proxyAddress(String host) {
        return proxyAddresses.getOrDefault(host, "");
    }

    @Override
    public void onFrame(Channel from, Wire.Frame frame) {
        long now = WallClock.nowMicros();
        clock.observe(FrameCodec.clock(frame), now);
        switch (frame.getBodyCase()) {
            case CONFIGURATION -> {
                Configuration c = ConfigurationCodec.decode(frame.getConfiguration());
                decisions.put(new CallEvent.ConfigurationAccepted(now, c));
            }
            case PROXY_UPDATE -> onUpdate(FrameCodec.decode(frame.getProxyUpdate()), now);
            default -> from.close();
        }
    }

    @Override
    public void onClose(Channel closed) {
        channel = null;
    }

    @Override
    public void close() {
        ticks.dispose();
        tick();
        EventLoops.close(group);
    }

    private void tick() {
        Channel c = channel;
        if (c != null) {
            c.writeAndFlush(FrameCodec.encode(status.get(), clock.tick(WallClock.nowMicros())));
        } else if (!isConnecting) {
            connect();
        }
    }

    private void connect() {
        isConnecting = true;
        FrameChannels.connect(group, Addresses.parse(address), this).whenComplete((opened, failure) -> {
            isConnecting = false;
            if (failure == null) {
                channel = opened;
                Logger.info("connected to agent {}", address);
            }
        });
    }

    private void onUpdate(ProxyUpdate u, long now) {
        u.members().forEach(m -> proxyAddresses.put(m.host(), m.proxyAddress()));
        decisions.put(new CallEvent.IssuersChanged(now, issuers(u.members())));
        decisions.put(new CallEvent.LeavingChanged(now, u.leaving(), "agent"));
        if (!u.loads().isEmpty()) {
            List<LoadReport> loads =
                    u.loads().stream().map(l -> l.received(now)).toList();
            decisions.put(new CallEvent.ReportsReceived(now, loads));
        }
        if (!u.suspicions().isEmpty()) {
            decisions.put(new CallEvent.SuspicionsReceived(now, u.suspicions()));
        }
    }

    private static IssuerView issuers(List<Member> members) {
        Map<String, Long> live = members.stream()
                .filter(Member::isLive)
                .collect(Collectors.toMap(Member::host, Member::proxyIncarnation));
        return host -> live.getOrDefault(host, IssuerView.GONE);
    }
}
