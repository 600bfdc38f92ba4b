package org.hyssophitch.entry;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import org.hyssophitch.wire.net.Transports;

/** Stand-in of all backend servers at one address, which answers requests after some time and probes at once. */
final class CostServer implements AutoCloseable {

    private static final int MAX_BODY_BYTES = 1_000_000;
    private static final int WORK_MILLIS = 140;

    private final AtomicLong probes = new AtomicLong();
    private final AtomicLong connections = new AtomicLong();
    private final Channel channel;

    CostServer(EventLoopGroup group, int port) {
        channel = new ServerBootstrap()
                .group(group)
                .channel(Transports.serverChannel(group))
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel c) {
                        connections.incrementAndGet();
                        c.pipeline()
                                .addLast(new HttpServerCodec())
                                .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                                .addLast(new Handler());
                    }
                })
                .bind(new InetSocketAddress("127.0.0.1", port))
                .syncUninterruptibly()
                .channel();
    }

    long probes() {
        return probes.get();
    }

    long connections() {
        return connections.get();
    }

    @Override
    public void close() {
        channel.close().syncUninterruptibly();
    }

    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            boolean isProbe = request.uri().equals("/health");
            String id = request.headers().get("Hyssophitch-Request-Id", "");
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.OK,
                    Unpooled.wrappedBuffer(isProbe ? new byte[0] : "served".getBytes()));
            response.headers()
                    .set("Hyssophitch-Server-Load", "0,0,2,100")
                    .set("Keep-Alive", "timeout=10")
                    .setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
            if (isProbe) {
                probes.incrementAndGet();
                context.writeAndFlush(response);
            } else {
                response.headers().set("Hyssophitch-Request-Id", id).set("Hyssophitch-Response-Signature", "s");
                context.executor()
                        .schedule(
                                () -> context.writeAndFlush(response)
                                        .addListener(ChannelFutureListener.CLOSE_ON_FAILURE),
                                WORK_MILLIS,
                                TimeUnit.MILLISECONDS);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
