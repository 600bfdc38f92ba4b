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
 * Connections to this agent: the local proxy's, and those of other agents that fetch the configuration. Thread-safe;
 * handlers run on the event loop.
 */
final class AgentLinks implements AutoCloseable {

    private final EventLoopGroup group;
    private final AgentDecisions decisions;
    private final HybridClock clock;
    private final Channel server;
    private final AtomicReference<Channel> proxy = new AtomicReference<>();
    private final LongAdder bytesSent = new LongAdder();

    AgentLinks(EventLoopGroup group, String address, AgentDecisions decisions, HybridClock clock) {
        this.group = group;
        this.decisions = decisions;
        this.clock = clock;
        this.server = FrameChannels.listen(group, Addresses.parse(address), new Receiver());
    }

    boolean isProxyConnected() {
        return proxy.get() != null;
    }

    /** Returns the bytes sent to other agents so far; the local proxy's are not counted. */
    long bytesSent() {
        return bytesSent.sum();
    }

    void push(Configuration c) {
        toProxy(FrameCodec.encode(c, tick()));
    }

    void push(ProxyUpdate u) {
        toProxy(FrameCodec.encode(u, tick()));
    }

    /** Asks another agent what changed in its configuration. */
    void fetch(String address, long haveVersion) {
        CompletableFuture<Channel> connecting =
                FrameChannels.connect(group, Addresses.parse(address), new FetchReceiver());
        connecting.whenComplete((channel, failure) -> {
            if (failure == null) {
                channel.writeAndFlush(FrameCodec.encodeFetch(haveVersion, tick()));
            } else {
                decisions.offer(new AgentEvent.FetchFailed(WallClock.nowMicros()));
            }
        });
    }

    @Override
    public void close() {
        server.close().syncUninterruptibly();
    }

    private void toProxy(Wire.Frame frame) {
        Channel channel = proxy.get();
        if (channel != null) {
            channel.writeAndFlush(frame);
        }
    }

    private HybridTimestamp tick() {
        return clock.tick(WallClock.nowMicros());
    }

    private final class Receiver implements FrameChannels.Receiver {
        @Override
        public void onFrame(Channel channel, Wire.Frame frame) {
            clock.observe(FrameCodec.clock(frame), WallClock.nowMicros());
            switch (frame.getBodyCase()) {
                case PROXY_STATUS -> {
                    proxy.set(channel);
                    decisions.put(new AgentEvent.ProxyReported(
                            WallClock.nowMicros(), FrameCodec.decode(frame.getProxyStatus())));
                }
                case FETCH -> answerFetch(channel, frame.getFetch().getHaveVersion());
                default -> channel.close();
            }
        }

        @Override
        public void onClose(Channel channel) {
            if (proxy.compareAndSet(channel, null)) {
                decisions.put(new AgentEvent.ProxyLost(WallClock.nowMicros()));
            }
        }

        private void answerFetch(Channel channel, long haveVersion) {
            decisions.ask(e -> e.changeSince(haveVersion)).thenAccept(change -> {
                Wire.Frame frame = FrameCodec.encode(change, tick());
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
                decisions.put(new AgentEvent.ChangeReceived(
                        WallClock.nowMicros(), ConfigurationCodec.decodeChange(frame.getConfiguration())));
            }
            channel.close();
        }
    }
}
