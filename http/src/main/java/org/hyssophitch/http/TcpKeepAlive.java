package org.hyssophitch.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;

/** TCP keep-alive, which detects connections whose peer went silent without a reset. Stateless. */
public final class TcpKeepAlive {

    /** Idle time in seconds before the first keep-alive probe. */
    private static final int PROBE_IDLE_SECONDS = 1;
    /** Interval in seconds between keep-alive probes. */
    private static final int PROBE_INTERVAL_SECONDS = 1;
    /** Number of unanswered probes after which the connection is closed. */
    private static final int MAX_UNANSWERED_PROBES = 2;

    private TcpKeepAlive() {}

    /** Enables keep-alive probes on a connection. */
    public static void enable(Channel channel) {
        channel.config().setOption(ChannelOption.SO_KEEPALIVE, true);
        channel.config().setOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), PROBE_IDLE_SECONDS);
        channel.config().setOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), PROBE_INTERVAL_SECONDS);
        channel.config().setOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), MAX_UNANSWERED_PROBES);
    }
}
