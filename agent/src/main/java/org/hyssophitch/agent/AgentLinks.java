package org.hyssophitch.agent;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.LongAdder;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.control.AgentEvent;
import org.hyssophitch.core.control.ProxyUpdate;
import org.hyssophitch.core.timeline.HybridClock;
import org.hyssophitch.core.timeline.HybridTimestamp;
import org.hyssophitch.wire.codec.ConfigurationCodec;
import org.hyssophitch.wire.codec.FrameCodec;
import org.hyssophitch.wire.concurrent.WallClock;
import org.hyssophitch.wire.generated.Wire;
import org.hyssophitch.wire.net.Addresses;
import org.hyssophitch.wire.net.FrameChannels;

/**
 * TCP connections of this agent: with the local proxy, and with other agents to fetch the configuration in either
 * direction. Thread-safe; handlers run on the event loop. Listens from construction until {@link #close}.
 */
final class AgentLinks implements AutoCloseable {

    private final EventLoopGroup group;
    private final AgentEngineThread engineThread;
    private final HybridClock clock;
    private final Channel server;
    private final AtomicReference<Channel> proxy = new AtomicReference<>();
    private final LongAdder bytesSent = new LongAdder();

    AgentLinks(EventLoopGroup group, String address, AgentEngineThread engineThread, HybridClock clock) {
        this.group = group;
        this.engineThread = engineThread;
        this.clock = clock;
        this.server = FrameChannels.listen(group, Addresses.parse(address), new Receiver());
    }

    boolean isProxyConnected() {
        return proxy.get() != null;
    }

    /** Returns the number of bytes sent to other agents that fetched the configuration; excludes the local proxy. */
    long bytesSent() {
        return bytesSent.sum();
    }

    void push(Configuration c) {
        sendToProxy(FrameCodec.encode(c, timestamp()));
    }

    void push(ProxyUpdate u) {
        sendToProxy(FrameCodec.encode(u, timestamp()));
    }

    /** Fetches from another agent the configuration changes since a version. */
    void fetch(String address, long haveVersion) {
        CompletableFuture<Channel> connecting =
                FrameChannels.connect(group, Addresses.parse(address), new FetchReceiver());
        connecting.whenComplete((channel, failure) -> {
            if (failure == null) {
                channel.writeAndFlush(FrameCodec.encodeFetch(haveVersion, timestamp()));
            } else {
                engineThread.offer(new AgentEvent.FetchFailed(WallClock.nowMicros()));
            }
        });
    }

    @Override
    public void close() {
        server.close().syncUninterruptibly();
    }

    private void sendToProxy(Wire.Frame frame) {
        Channel channel = proxy.get();
        if (channel != null) {
            channel.writeAndFlush(frame);
        }
    }

    private HybridTimestamp timestamp() {
        return clock.tick(WallClock.nowMicros());
    }

    private final class Receiver implements FrameChannels.Receiver {
        @Override
        public void onFrame(Channel channel, Wire.Frame frame) {
            clock.observe(FrameCodec.clock(frame), WallClock.nowMicros());
            switch (frame.getBodyCase()) {
                case PROXY_STATUS -> {
                    proxy.set(channel);
                    engineThread.put(new AgentEvent.ProxyReported(
                            WallClock.nowMicros(), FrameCodec.decode(frame.getProxyStatus())));
                }
                case FETCH -> handleFetch(channel, frame.getFetch().getHaveVersion());
                default -> channel.close();
            }
        }

        @Override
        public void onClose(Channel channel) {
            if (proxy.compareAndSet(channel, null)) {
                engineThread.put(new AgentEvent.ProxyLost(WallClock.nowMicros()));
            }
        }

        private void handleFetch(Channel channel, long haveVersion) {
            engineThread.query(e -> e.changeSince(haveVersion)).thenAccept(change -> {
                Wire.Frame frame = FrameCodec.encode(change, timestamp());
                bytesSent.add(frame.getSerializedSize());
                channel.writeAndFlush(frame);
            });
        }
    }

    private final class FetchReceiver implements FrameChannels.Receiver {
        @Override
        public void onFrame(Channel channel, Wire.Frame frame) {
            clock.observe(FrameCodec.clock(frame), WallClock.nowMicros());
            if (frame.hasConfiguration()) {
                engineThread.put(new AgentEvent.ChangeReceived(
                        WallClock.nowMicros(), ConfigurationCodec.decodeChange(frame.getConfiguration())));
            }
            channel.close();
        }
    }
}
