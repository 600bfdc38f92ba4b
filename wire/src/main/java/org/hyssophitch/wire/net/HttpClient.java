package org.hyssophitch.wire.net;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import org.tinylog.Logger;

/**
 * Minimal HTTP client for one server, for processes whose memory limit is too low for a full-featured client. Not
 * thread-safe; used on one event loop.
 *
 * <p>Each connection carries one request at a time. A request that times out closes its connection, so that a late
 * response can't be mistaken for the response to a later request. Responses tell no request, so bytes behind a response
 * also close its connection.
 */
public final class HttpClient {

    /** Outcome of one request. Immutable. */
    public sealed interface Outcome {

        /** The server responded. */
        record Answered(int status, HttpHeaders headers, byte[] body) implements Outcome {

            /** Returns the value of a header that holds a whole number; empty if it is missing or malformed. */
            public OptionalLong wholeNumber(String header) {
                String value = headers.get(header);
                if (value == null) {
                    return OptionalLong.empty();
                }
                try {
                    return OptionalLong.of(Long.parseLong(value.trim()));
                } catch (NumberFormatException e) {
                    Logger.warn("header {} is not a number: {}", header, value);
                    return OptionalLong.empty();
                }
            }
        }

        /** No complete response was received. */
        record Failed(Failure failure) implements Outcome {}
    }

    /** Reasons for a missing response. */
    public enum Failure {
        CONNECT_FAILED,
        CONNECTION_LOST,
        TIMED_OUT,
        /** The response breaks the protocol. */
        MALFORMED
    }

    /** Maximum size of a response body. */
    private static final int MAX_BODY_BYTES = 8_000_000;
    /** Maximum number of interim responses to one request. */
    private static final int MAX_INTERIM_RESPONSES = 32;

    private final EventLoop loop;
    private final InetSocketAddress server;
    private final int connectTimeoutMillis;
    private final Consumer<Channel> initializer;
    private final Deque<Connection> idle = new ArrayDeque<>();
    private final BoundedWarning malformed = new BoundedWarning("dropped a malformed response");

    /**
     * Creates a client without opening a connection.
     *
     * @param loop event loop on which the client is used
     * @param server address of the server
     * @param connectTimeoutMillis connect timeout in milliseconds
     * @param initializer sets the options of each new channel
     */
    public HttpClient(
            EventLoop loop, InetSocketAddress server, int connectTimeoutMillis, Consumer<Channel> initializer) {
        this.loop = loop;
        this.server = server;
        this.connectTimeoutMillis = connectTimeoutMillis;
        this.initializer = initializer;
    }

    /**
     * Sends a request on an idle connection or a new one.
     *
     * @param method HTTP method
     * @param uri path and query
     * @param body JSON body; empty for a request without a body
     * @param timeoutMillis response timeout in milliseconds, counted from sending the request
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
        Connection pooled = idle.pollLast();
        if (pooled != null && pooled.channel.isActive()) {
            pooled.send(request, timeoutMillis, onOutcome);
        } else {
            open(request, timeoutMillis, onOutcome);
        }
    }

    /** Closes the idle connections; requests in flight continue. */
    public void close() {
        idle.forEach(c -> c.channel.close());
        idle.clear();
    }

    private void open(DefaultFullHttpRequest request, int timeoutMillis, Consumer<Outcome> onOutcome) {
        Connection connection = new Connection();
        new Bootstrap()
                .group(loop)
                .channel(Transports.channel(loop))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, FairReads.allocator())
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        initializer.accept(c);
                        c.pipeline()
                                .addLast(new Input(connection))
                                .addLast(connection.decoder)
                                .addLast(new HttpRequestEncoder())
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

    /**
     * Closes a connection on which bytes arrive while it is idle, and records how its input ends, before the decoder
     * handles it: the decoder waits for the end of a head, and takes every end of the channel, also a reset, for the
     * end of a response without a length.
     */
    private static final class Input extends ChannelInboundHandlerAdapter {

        private final Connection connection;

        private Input(Connection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (connection.pending == null) {
                ReferenceCountUtil.release(message);
                context.close();
            } else {
                context.fireChannelRead(message);
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof ChannelInputShutdownEvent) {
                connection.isInputEnded = true;
            }
            context.fireUserEventTriggered(event);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            connection.isInputLost = !connection.isInputEnded;
            context.fireExceptionCaught(cause);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connection.isInputLost = !connection.isInputEnded;
            context.fireChannelInactive();
        }
    }

    /** Decodes responses, and tells what is left behind one. */
    private static final class ResponseDecoder extends StrictResponseDecoder {

        private boolean isHeadRequest;

        private ResponseDecoder() {
            super(new HttpDecoderConfig());
        }

        private boolean hasSurplus() {
            return actualReadableBytes() > 0;
        }

        @Override
        protected boolean isResponseToHead() {
            return isHeadRequest;
        }
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {

        private final ResponseDecoder decoder = new ResponseDecoder();
        private Channel channel;
        private Consumer<Outcome> pending;
        private ScheduledFuture<?> timer;
        private boolean isInputEnded;
        private boolean isInputLost;
        private int interimResponses;

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            channel = context.channel();
        }

        private void send(DefaultFullHttpRequest request, int timeoutMillis, Consumer<Outcome> onOutcome) {
            pending = onOutcome;
            interimResponses = 0;
            decoder.isHeadRequest = HttpMethod.HEAD.equals(request.method());
            timer = loop.schedule(this::onTimeout, timeoutMillis, TimeUnit.MILLISECONDS);
            channel.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (pending == null || isInputLost) {
                context.close();
                return;
            }
            if (response.decoderResult().isFailure()) {
                onMalformed(response.decoderResult().cause());
                return;
            }
            if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                onInterimResponse(context, response);
                return;
            }
            boolean isReusable = HttpUtil.isKeepAlive(response) && !isInputEnded && !decoder.hasSurplus();
            Outcome outcome = new Outcome.Answered(
                    response.status().code(), response.headers(), ByteBufUtil.getBytes(response.content()));
            if (isReusable) {
                idle.addLast(this);
            } else {
                context.close();
            }
            finish(outcome);
        }

        /** Closes the connection; a response that can't be decoded since the input has ended isn't malformed. */
        private void onMalformed(Throwable cause) {
            channel.close();
            if (!isInputEnded) {
                malformed.add(server + ": " + cause.getMessage());
                finish(new Outcome.Failed(Failure.MALFORMED));
            }
        }

        /** Ignores a response before the final one; no request asks for another protocol. */
        private void onInterimResponse(ChannelHandlerContext context, FullHttpResponse response) {
            interimResponses++;
            if (interimResponses > MAX_INTERIM_RESPONSES
                    || HttpResponseStatus.SWITCHING_PROTOCOLS.equals(response.status())) {
                context.close();
            }
        }

        /** Closes the connection: after the orderly end of its input, no further response can arrive. */
        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof ChannelInputShutdownEvent) {
                context.close();
            }
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
            Consumer<Outcome> callback = pending;
            if (callback != null) {
                pending = null;
                timer.cancel(false);
                callback.accept(outcome);
            }
        }
    }
}
