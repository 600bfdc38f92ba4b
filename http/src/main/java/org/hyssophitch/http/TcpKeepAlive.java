package org.hyssophitch.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;

/**
 * Keep-alive of the transport, which finds connections whose other end went silent without a reset. Stateless.
 */
public final class TcpKeepAlive {

    /** Seconds without traffic before the first probe. */
    private static final int PROBE_IDLE_SECONDS = 1;
    /** Seconds between two probes. */
    private static final int PROBE_INTERVAL_SECONDS = 1;
    /** Unanswered probes after which the connection is given up. */
    private static final int MAX_UNANSWERED_PROBES = 2;

    private TcpKeepAlive() {}

    /** Switches probes on for a connection. */
    public static void enable(Channel channel) {
        channel.config().setOption(ChannelOption.SO_KEEPALIVE, true);
        channel.config().setOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), PROBE_IDLE_SECONDS);
        channel.config().setOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), PROBE_INTERVAL_SECONDS);
        channel.config().setOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), MAX_UNANSWERED_PROBES);
    }
}
