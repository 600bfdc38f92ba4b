package org.hyssophitch.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequestEncoder;
import org.hyssophitch.core.call.AnswerFault;
import org.hyssophitch.core.call.AnswerPart;
import org.hyssophitch.core.call.BodyFraming;
import org.hyssophitch.core.call.CallEvent;
import org.hyssophitch.core.call.EmbeddedHeadVerdict;
import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.wire.concurrent.WallClock;
import org.hyssophitch.wire.net.FairReads;
import org.hyssophitch.wire.net.Transports;

/**
 * Connection pool of one backend server. Not thread-safe; confined to one event loop.
 *
 * <p>The most recently used idle connection is taken first (LIFO), which keeps the pool small and prefers connections
 * that are known to work.
 */
final class BackendPool {

    /** Connect timeout in milliseconds; well above a few round trips within a region. */
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    /** Maximum time in milliseconds since the last response for a connection to carry a non-idempotent request. */
    private static final long MAX_REUSE_AGE_MILLIS = 500;

    private final BackendServer server;
    private final EventLoop loop;
    private final Consumer<CallEvent> events;
    private final Deque<BackendConnection> idle = new ArrayDeque<>();
    private final Set<BackendConnection> all = new HashSet<>();
    private boolean isClosed;

    BackendPool(BackendServer server, EventLoop loop, Consumer<CallEvent> events) {
        this.server = server;
        this.loop = loop;
        this.events = events;
    }

    String serverName() {
        return server.name();
    }

    /** Reports an answer that was not taken as the whole answer to a request. */
    void onAnswerRejected(
            String requestId, AnswerFault fault, Optional<AnswerPart> part, long bytes, int earlierRequests) {
        events.accept(new CallEvent.AnswerRejected(
                WallClock.nowMicros(), requestId, server.name(), fault, part, bytes, earlierRequests));
    }

    /** Reports an answer whose body held the head of another answer. */
    void onEmbeddedHead(String requestId, BodyFraming framing, EmbeddedHeadVerdict verdict) {
        events.accept(
                new CallEvent.EmbeddedHeadFound(WallClock.nowMicros(), requestId, server.name(), framing, verdict));
    }

    /** Returns whether a server has the address that this pool connects to. */
    boolean hasAddressOf(BackendServer other) {
        return server.host().equals(other.host()) && server.port() == other.port();
    }

    /**
     * Starts an exchange on an idle connection, or on a new one. A connection that has carried an earlier attempt with
     * the same request id isn't used: a late answer to that attempt would pass for the answer to this one.
     *
     * @param needsRecentUse whether an idle connection may be used only if it has been used recently
     */
    void acquire(BackendExchange exchange, boolean needsRecentUse) {
        Optional<BackendConnection> candidate = idle.reversed().stream()
                .filter(c -> c.isOpen() && !c.hasCarried(exchange.requestId()))
                .findFirst()
                .filter(c -> !needsRecentUse || c.isRecentlyUsed(MAX_REUSE_AGE_MILLIS));
        if (candidate.isPresent()) {
            idle.removeLastOccurrence(candidate.get());
            candidate.get().begin(exchange);
        } else {
            open(exchange);
        }
    }

    /** Returns a connection to the pool after its exchange has completed. */
    void release(BackendConnection connection) {
        if (isClosed) {
            connection.channel().close();
        } else {
            // An answer may have ended while reading was paused.
            connection.channel().config().setAutoRead(true);
            idle.addLast(connection);
        }
    }

    void remove(BackendConnection connection) {
        idle.remove(connection);
        all.remove(connection);
    }

    /** Closes idle connections now and the others when their exchange has completed. */
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
                .channel(Transports.channel(loop))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, FairReads.allocator())
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        TcpKeepAlive.enable(c);
                        c.pipeline()
                                .addLast(new BackendInput(connection))
                                .addLast(connection.decoder())
                                .addLast(new HttpRequestEncoder())
                                .addLast(connection);
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
}
