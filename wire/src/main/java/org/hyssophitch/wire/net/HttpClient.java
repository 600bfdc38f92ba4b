package org.hyssophitch.wire.net;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * Small HTTP client of one server, for processes whose memory bound leaves no room for a full one. Not thread-safe;
 * lives on one event loop.
 *
 * <p>Each connection carries one call at a time. A call without an answer in time closes its connection, since an
 * answer that comes later must not be taken for that of another call.
 */
public final class HttpClient {

    /** Result of one call. Immutable. */
    public sealed interface Outcome {

        /** An answer came. */
        record Answered(int status, byte[] body) implements Outcome {}

        /** No answer came. */
        record Failed(Failure failure) implements Outcome {}
    }

    /** Ways in which an answer fails to come. */
    public enum Failure {
        CONNECT_FAILED,
        CONNECTION_LOST,
        TIMED_OUT
    }

    /** Largest answer in bytes. */
    private static final int MAX_BODY_BYTES = 8_000_000;

    private final EventLoop loop;
    private final InetSocketAddress server;
    private final int connectMillis;
    private final Consumer<Channel> initializer;
    private final Deque<Connection> idle = new ArrayDeque<>();

    /**
     * Creates a client without a connection.
     *
     * @param loop event loop
     * @param server address of the server
     * @param connectMillis time in milliseconds to open a connection
     * @param initializer sets options of each new connection
     */
    public HttpClient(EventLoop loop, InetSocketAddress server, int connectMillis, Consumer<Channel> initializer) {
        this.loop = loop;
        this.server = server;
        this.connectMillis = connectMillis;
        this.initializer = initializer;
    }

    /**
     * Sends a request.
     *
     * @param method HTTP method
     * @param uri path and query
     * @param body body, JSON; empty for none
     * @param timeoutMillis time in milliseconds for the answer
     * @param onOutcome called on the event loop, exactly once
     */
    public void call(String method, String uri, byte[] body, int timeoutMillis, Consumer<Outcome> onOutcome) {
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), uri, Unpooled.wrappedBuffer(body));
        request.headers().set(HttpHeaderNames.HOST, Addresses.format(server));
        if (body.length > 0) {
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        Connection known = idle.pollLast();
        if (known != null && known.channel.isActive()) {
            known.send(request, timeoutMillis, onOutcome);
        } else {
            open(request, timeoutMillis, onOutcome);
        }
    }

    /** Closes the idle connections. */
    public void close() {
        idle.forEach(c -> c.channel.close());
        idle.clear();
    }

    private void open(DefaultFullHttpRequest request, int timeoutMillis, Consumer<Outcome> onOutcome) {
        Connection connection = new Connection();
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMillis)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        initializer.accept(c);
                        c.pipeline()
                                .addLast(new HttpClientCodec())
                                .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                                .addLast(connection);
                    }
                })
                .connect(server)
                .addListener(f -> {
                    if (f.isSuccess()) {
                        connection.send(request, timeoutMillis, onOutcome);
                    } else {
                        request.release();
                        onOutcome.accept(new Outcome.Failed(Failure.CONNECT_FAILED));
                    }
                });
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {

        private Channel channel;
        private Consumer<Outcome> waiting;
        private ScheduledFuture<?> timer;

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            channel = context.channel();
        }

        private void send(DefaultFullHttpRequest request, int timeoutMillis, Consumer<Outcome> onOutcome) {
            waiting = onOutcome;
            timer = loop.schedule(this::onTimeout, timeoutMillis, TimeUnit.MILLISECONDS);
            channel.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse answer) {
            if (waiting == null || answer.decoderResult().isFailure()) {
                context.close();
                return;
            }
            boolean isKept = HttpUtil.isKeepAlive(answer);
            Outcome outcome = new Outcome.Answered(answer.status().code(), ByteBufUtil.getBytes(answer.content()));
            if (isKept) {
                idle.addLast(this);
            } else {
                context.close();
            }
            finish(outcome);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            idle.remove(this);
            finish(new Outcome.Failed(Failure.CONNECTION_LOST));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        private void onTimeout() {
            finish(new Outcome.Failed(Failure.TIMED_OUT));
            channel.close();
        }

        private void finish(Outcome outcome) {
            Consumer<Outcome> done = waiting;
            if (done != null) {
                waiting = null;
                timer.cancel(false);
                done.accept(outcome);
            }
        }
    }
}
