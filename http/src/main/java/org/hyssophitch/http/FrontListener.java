package org.hyssophitch.http;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import org.hyssophitch.core.call.CallEvent;
import org.hyssophitch.core.call.Reason;
import org.hyssophitch.core.entry.StopPlan;
import org.hyssophitch.wire.concurrent.WallClock;
import org.hyssophitch.wire.net.Binding;
import org.hyssophitch.wire.net.FairReads;
import org.hyssophitch.wire.net.Transports;

/**
 * Accepts connections from callers from {@link #open} until {@link #stopListening}. Not thread-safe except for
 * {@link #open}; confined to one event loop.
 */
public final class FrontListener {

    private static final int ACCEPT_BACKLOG = 1_024;
    /** Retry delay in milliseconds for callers whose request arrives before a configuration is in force. */
    private static final long NO_CONFIGURATION_RETRY_MILLIS = 300;

    private final CallDispatcher dispatcher;
    private final RequestRules rules;
    private final Set<CallerConnection> connections = new HashSet<>();
    private Channel channel;
    private long leftUnread;
    private Optional<StopState> stop = Optional.empty();

    /**
     * Creates a listener that isn't open yet.
     *
     * @param dispatcher runs the calls
     * @param rules evaluates each request's head
     */
    public FrontListener(CallDispatcher dispatcher, RequestRules rules) {
        this.dispatcher = dispatcher;
        this.rules = rules;
    }

    /**
     * Binds the address and starts to listen; blocks until it is bound.
     *
     * @throws org.hyssophitch.wire.net.ListenFailedException when the address can't be bound
     */
    public void open(EventLoopGroup group, InetSocketAddress local) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(Transports.serverChannel(group))
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, FairReads.allocator())
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel c) {
                        initialize(c);
                    }
                });
        channel = Binding.bind(bootstrap, local);
    }

    /** Announces from now on with the last response of each connection that it will be closed. */
    public void beginStop() {
        stop = Optional.of(new StopState(rules, Optional.empty()));
    }

    /** Begins a stop as {@link #beginStop()} does, and refuses from now on the requests that the plan doesn't take. */
    public void beginStop(StopPlan plan) {
        stop = Optional.of(new StopState(rules, Optional.of(plan)));
        forEachExchange(CallerExchange::resumeWithheld);
    }

    /** Stops accepting connections and closes idle ones; the others close after their last response. */
    public void stopListening() {
        if (stop.isEmpty()) {
            beginStop();
        }
        if (channel != null) {
            channel.close();
        }
        List.copyOf(connections).forEach(CallerConnection::closeWhenIdle);
    }

    /**
     * Returns whether calls are active, responses unsent or connections being closed, which would be cut off if the
     * process ended now.
     */
    public boolean isBusy() {
        return dispatcher.activeCalls() > 0
                || busyConnections() > 0
                || connections.stream().anyMatch(CallerConnection::isClosing);
    }

    /** Returns the number of connections with an unanswered request or an unsent response. */
    public int busyConnections() {
        return (int) connections.stream().filter(CallerConnection::isBusy).count();
    }

    /** Returns the number of callers so far that left while their connection wasn't read. */
    public long leftUnread() {
        return leftUnread;
    }

    /** Returns the number of connections from callers. */
    public int connections() {
        return connections.size();
    }

    /**
     * Gives each request without a server's answer a final answer, and each whose answer is withheld, so that whole
     * answers behind it can leave before the process ends, and reports it.
     */
    public void endCalls() {
        stop.ifPresent(s -> connections.forEach(c -> s.reportEnded(c.pending())));
        dispatcher.handle(new CallEvent.HostEnding(WallClock.nowMicros()));
        forEachExchange(CallerExchange::endWithheld);
    }

    /** Reports the requests without a whole response, which are cut off if the process ends now. */
    public void reportUnfinished() {
        stop.ifPresent(s -> connections.forEach(c -> s.reportUnfinished(c.pending())));
    }

    /** Returns the number of requests that were refused because of the stop. */
    public int refusedAtStop() {
        return stop.map(StopState::refused).orElse(0);
    }

    /** Returns the number of requests that were reported as left without a whole response. */
    public int unfinishedAtStop() {
        return stop.map(StopState::unfinished).orElse(0);
    }

    /** Returns the stop that has begun; empty before. */
    Optional<StopState> stop() {
        return stop;
    }

    long retryAfterMillis(Reason reason) {
        return reason == Reason.NO_CONFIGURATION ? NO_CONFIGURATION_RETRY_MILLIS : 0;
    }

    void onOpen(CallerConnection connection) {
        connections.add(connection);
    }

    void onClose(CallerConnection connection) {
        connections.remove(connection);
    }

    void onLeftUnread() {
        leftUnread++;
    }

    private void forEachExchange(Consumer<CallerExchange> action) {
        List.copyOf(connections).forEach(c -> c.pending().forEach(action));
    }

    private void initialize(SocketChannel c) {
        TcpKeepAlive.enable(c);
        CallerConnection connection = new CallerConnection(dispatcher, rules, this);
        c.pipeline()
                .addLast(new ReceiveNotifier(connection))
                .addLast(new StrictRequestDecoder(rules.limits()))
                .addLast(new HttpResponseEncoder())
                .addLast(connection);
    }

    /** Notifies a connection of received bytes before they are decoded. */
    private static final class ReceiveNotifier extends ChannelInboundHandlerAdapter {

        private final CallerConnection connection;

        private ReceiveNotifier(CallerConnection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof ByteBuf) {
                connection.onBytesReceived();
            }
            context.fireChannelRead(message);
        }
    }
}
