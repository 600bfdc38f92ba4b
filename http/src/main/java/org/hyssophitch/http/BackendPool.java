package org.hyssophitch.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import org.hyssophitch.core.configuration.BackendServer;

/**
 * Connections to one backend server. Not thread-safe; lives on one event loop.
 *
 * <p>The connection used last is taken first, so that few connections are kept, and those are known to work.
 */
final class BackendPool {

    /** Time in milliseconds to open a connection; well above a few round trips within a region. */
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    /** Age in milliseconds of the latest answer up to which a connection may carry what must not be sent twice. */
    private static final long MAX_REUSE_AGE_MILLIS = 500;
    /** Largest head in bytes of a server's answer. */
    private static final int MAX_RESPONSE_HEAD_BYTES = 65_536;
    /** Size in bytes of the pieces in which a body is handed on. */
    private static final int MAX_CHUNK_BYTES = 16_384;

    private final BackendServer server;
    private final EventLoop loop;
    private final Deque<BackendConnection> idle = new ArrayDeque<>();
    private final Set<BackendConnection> all = new HashSet<>();
    private boolean isClosed;

    BackendPool(BackendServer server, EventLoop loop) {
        this.server = server;
        this.loop = loop;
    }

    String serverName() {
        return server.name();
    }

    /** Returns whether a server has the address that the connections go to. */
    boolean hasAddressOf(BackendServer other) {
        return server.host().equals(other.host()) && server.port() == other.port();
    }

    /**
     * Gives a use a connection: an idle one, or a new one.
     *
     * @param needsRecentUse whether an idle connection has to have been used a short time ago
     */
    void acquire(BackendExchange exchange, boolean needsRecentUse) {
        BackendConnection known = idle.pollLast();
        while (known != null && !known.isOpen()) {
            known = idle.pollLast();
        }
        if (known != null && (!needsRecentUse || known.isRecentlyUsed(MAX_REUSE_AGE_MILLIS))) {
            known.begin(exchange);
            return;
        }
        if (known != null) {
            idle.addLast(known);
        }
        open(exchange);
    }

    /** Takes back a connection whose use is over. */
    void release(BackendConnection connection) {
        if (isClosed) {
            connection.channel().close();
        } else {
            idle.addLast(connection);
        }
    }

    void remove(BackendConnection connection) {
        idle.remove(connection);
        all.remove(connection);
    }

    /** Closes idle connections now and the others once their use is over. */
    void close() {
        isClosed = true;
        List.copyOf(idle).forEach(c -> c.channel().close());
    }

    int connections() {
        return all.size();
    }

    private void open(BackendExchange exchange) {
        BackendConnection connection = new BackendConnection(this);
        ChannelFuture connectFuture = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        TcpKeepAlive.enable(c);
                        c.pipeline().addLast(codec()).addLast(connection);
                    }
                })
                .connect(server.host(), server.port());
        connectFuture.addListener(f -> {
            if (f.isSuccess()) {
                all.add(connection);
                connection.begin(exchange);
            } else {
                exchange.onConnectFailed();
            }
        });
    }

    private static HttpClientCodec codec() {
        HttpDecoderConfig config = new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_RESPONSE_HEAD_BYTES)
                .setMaxHeaderSize(MAX_RESPONSE_HEAD_BYTES)
                .setMaxChunkSize(MAX_CHUNK_BYTES);
        return new HttpClientCodec(config, false, false);
    }
}
