package org.hyssophitch.wire.net;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.tinylog.Logger;

/**
 * Minimal HTTP server for processes whose memory limit is too low for a full-featured one. Thread-safe; open from
 * construction until {@link #close}.
 */
public final class HttpEndpoint implements AutoCloseable {

    /** Maximum size in bytes of a request body by default; the object API accepts values of up to one megabyte. */
    private static final int MAX_BODY_BYTES = 2_000_000;

    private static final int SERVER_ERROR = 500;

    private final Channel channel;

    /**
     * Opens and binds the listening socket.
     *
     * @param group event loops that serve the connections
     * @param local address to bind to
     * @param handler handles a request; called on the event loop, must not block
     */
    public HttpEndpoint(
            EventLoopGroup group, InetSocketAddress local, Function<HttpQuery, CompletionStage<HttpReply>> handler) {
        this(group, local, MAX_BODY_BYTES, handler);
    }

    /**
     * Opens and binds the listening socket.
     *
     * @param group event loops that serve the connections
     * @param local address to bind to
     * @param maxBodyBytes maximum size in bytes of a request body; a larger one gets status 413
     * @param handler handles a request; called on the event loop, must not block
     */
    public HttpEndpoint(
            EventLoopGroup group,
            InetSocketAddress local,
            int maxBodyBytes,
            Function<HttpQuery, CompletionStage<HttpReply>> handler) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(Transports.serverChannel(group))
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, FairReads.allocator())
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel c) {
                        c.pipeline()
                                .addLast(new HttpServerCodec())
                                .addLast(new HttpObjectAggregator(maxBodyBytes))
                                .addLast(new Handler(handler));
                    }
                });
        channel = Binding.bind(bootstrap, local);
    }

    @Override
    public void close() {
        channel.close().syncUninterruptibly();
    }

    private static final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Function<HttpQuery, CompletionStage<HttpReply>> handler;

        private Handler(Function<HttpQuery, CompletionStage<HttpReply>> handler) {
            this.handler = handler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            boolean isKeepAlive = HttpUtil.isKeepAlive(request);
            handler.apply(query(request)).whenComplete((reply, failure) -> {
                if (failure != null) {
                    Logger.error(failure, "failed to handle the HTTP request {}", request.uri());
                }
                write(context, failure == null ? reply : HttpReply.empty(SERVER_ERROR), isKeepAlive);
            });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            Logger.debug(
                    "closing the HTTP connection from {}: {}", context.channel().remoteAddress(), cause.toString());
            context.close();
        }

        private static HttpQuery query(FullHttpRequest request) {
            Map<String, String> headers = new HashMap<>();
            request.headers().forEach(h -> headers.putIfAbsent(h.getKey().toLowerCase(Locale.ROOT), h.getValue()));
            byte[] body = ByteBufUtil.getBytes(request.content());
            return HttpQuery.of(request.method().name(), request.uri(), headers, body);
        }

        private static void write(ChannelHandlerContext context, HttpReply reply, boolean isKeepAlive) {
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(reply.status()),
                    Unpooled.wrappedBuffer(reply.body()));
            reply.headers().forEach((name, value) -> response.headers().set(name, value));
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, reply.contentType());
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
            HttpUtil.setKeepAlive(response, isKeepAlive);
            context.writeAndFlush(response)
                    .addListener(isKeepAlive ? ChannelFutureListener.CLOSE_ON_FAILURE : ChannelFutureListener.CLOSE);
        }
    }
}
